#!/usr/bin/env bash
# Case 4: a late copy of a report from before a machine's restart makes a task run twice.
exec bash "$(dirname "$0")/../case-2.sh" late-copy "$(dirname "$0")"

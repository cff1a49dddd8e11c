#!/usr/bin/env bash
# Case 5: a leader that was replaced returns the machines of its successor.
exec bash "$(dirname "$0")/../case-2.sh" stale-return "$(dirname "$0")"

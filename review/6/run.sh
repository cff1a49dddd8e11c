#!/usr/bin/env bash
# Case 6: a production service is left waiting beside a machine that has room for it.
exec bash "$(dirname "$0")/../case-2.sh" left-waiting "$(dirname "$0")"

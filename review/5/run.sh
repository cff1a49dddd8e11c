#!/usr/bin/env bash
# Case 5: a task whose machine and whose leader restart together is never started again.
exec bash "$(dirname "$0")/../case-2.sh" restarted "$(dirname "$0")"

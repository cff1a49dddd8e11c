#!/usr/bin/env bash
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
exec bash "$(dirname "$0")/../case.sh" "review/1" stopped-machine

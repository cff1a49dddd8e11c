#!/usr/bin/env bash
# Plays a case of the second review: case-2.sh NAME FOLDER. It exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
name=$1
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
[ -x target/marblehaven ] && [ -x target/review2/standin2 ] || {
  echo "build first: the command of deploy/service.toml, then review/build-2.sh" >&2
  exit 2
}
target/review2/standin2 "$name" "$folder/record.txt" &
process=$!
trap 'kill "$process" 2>/dev/null; wait "$process"; exit 2' INT TERM
wait "$process"
code=$?
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac

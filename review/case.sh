#!/usr/bin/env bash
# Runs a case of the review: case.sh FOLDER NAME. It exits with 1 if the rule was broken, with
# 0 if it held, and with 2 if the case could not run. TROUBLE=0 leaves out the trouble.
set -u
folder=$1
name=$2
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/marblehaven ]; then
  eval "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)" >&2 || exit 2
fi
if [ ! -x target/review/standin ] || [ -n "$(find review/standin -name '*.go' -newer target/review/standin)" ]; then
  bash review/build.sh >&2 || exit 2
fi
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review/standin -case "$name" -trouble="$trouble" -record "$folder/record.txt"

#!/usr/bin/env bash
# Runs a case some times, and prints its exit codes: repeat.sh CASE [TIMES].
cd "$(dirname "$0")"
codes=""
for _ in $(seq "${2:-5}"); do
  "./$1/run.sh" >/dev/null 2>&1
  codes="$codes $?"
done
echo "case $1, TROUBLE=${TROUBLE:-1}: exit codes$codes"

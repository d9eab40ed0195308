#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the same without the disruption. Writes record.txt beside itself.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review/case-$(basename "$here")
[ -x target/bin/trefoilarch-gate ] && [ -x "$program" ] || exit 2
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
TROUBLE=${TROUBLE:-1} timeout -k 2 110 "$program" "$work" "$here/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"

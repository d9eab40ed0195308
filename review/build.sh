#!/usr/bin/env bash
# Builds the stand-ins and the cases into target/review, beside the gate that
# the deploy file's command has built. Needs the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*/case.cpp; do
  name=$(basename "$(dirname "$case")")
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread \
    review/standins/*.cpp "$case" -o "target/review/case-$name" &
done
for job in $(jobs -p); do
  wait "$job"
done

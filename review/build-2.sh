#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the gate: the
# project's stand-ins of the store and of an upstream, and a driver for each
# case. Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=c++20 -O1 -pthread -Isrc -Itests/standins -Ireview/standins-2"
common="tests/standins/common/standinserver.cpp src/libtrefoilio/base64.cpp"
# shellcheck disable=SC2086
g++ $flags -o "$out/rowstore" tests/standins/rowstore/*.cpp $common &
# shellcheck disable=SC2086
g++ $flags -o "$out/worker" tests/standins/worker/*.cpp \
  tests/standins/engine/batchmodel.cpp tests/standins/engine/prefixcache.cpp \
  $common -lxxhash &
# shellcheck disable=SC2086
g++ $flags -c -o "$out/harness.o" review/standins-2/harness.cpp
for driver in review/*/driver.cpp; do
  name=$(basename "$(dirname "$driver")")
  # shellcheck disable=SC2086
  g++ $flags -o "$out/case-$name" "$driver" "$out/harness.o"
done
for job in $(jobs -p); do
  wait "$job"
done

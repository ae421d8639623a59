#!/usr/bin/env bash
# Builds the stand-ins and the cases into target/review/. Needs g++ and the Boost headers of the deploy file's packages.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags="-std=c++20 -O2 -Wall -Wextra -pthread -Ireview/stand-in"
objects=()
jobs=()
for source in review/stand-in/*.cpp; do
    object="$out/$(basename "$source" .cpp).o"
    objects+=("$object")
    # shellcheck disable=SC2086
    g++ $flags -c "$source" -o "$object" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
for source in review/*/case.cpp; do
    name=$(basename "$(dirname "$source")")
    # shellcheck disable=SC2086
    g++ $flags "$source" "${objects[@]}" -o "$out/case-$name"
done

#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 9 start, into target/review-2. Needs no package beyond those of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/6/case.cpp review/7/case.cpp review/8/case.cpp review/9/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -w -I review/stand-in-2 "$source" -o "target/review-2/case-$number" -lboost_json -pthread &
done
wait
for number in 6 7 8 9; do
    [ -x "target/review-2/case-$number" ]
done

#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3; needs what the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-3/cell3 review/stand-in-3/*.cpp -lboost_json

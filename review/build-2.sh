#!/bin/bash
# Builds the stand-ins and cases of the second review's scripts into target/review-2/. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    g++ -std=c++20 -O1 -o "target/review-2/case-$number" "review/$number/case.cpp" -lboost_json -pthread
done

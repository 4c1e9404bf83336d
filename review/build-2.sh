#!/bin/bash
# Builds the stand-ins of the second review's scripts into target/review-2/. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -o "target/review-2/$name" "$source" -lboost_json -pthread
done

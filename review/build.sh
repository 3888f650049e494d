#!/usr/bin/env bash
# Builds the stand-ins of the scripts in this folder, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -g -Wall -Wextra -I. -pthread \
  -o target/review/stand_ins review/stand_ins/*.cpp -lboost_json

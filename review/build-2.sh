#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/, with the
# packages that the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."

out=target/review-2
common="review/stand_ins_2/net.cpp review/stand_ins_2/platform.cpp"
mkdir -p "$out"
for source in review/stand_ins_2/*.cpp; do
  name="$(basename "$source" .cpp)"
  case "$name" in net | platform) continue ;; esac
  # shellcheck disable=SC2086
  g++ -std=c++20 -O1 -Wall -Wextra -I. -o "$out/$name" "$source" $common \
    -lboost_json -lpthread
done
echo "stand-ins: built"

#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/review-2/, which holds nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
objects=()
for source in review/lib-2/*.cpp; do
  object="target/review-2/$(basename "$source" .cpp).o"
  objects+=("$object")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -c -o "$object" "$source" &
done
for job in $(jobs -p); do wait "$job"; done
g++ -pthread -o target/review-2/case_main "${objects[@]}"

#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2. Needs g++ alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand-2/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$(basename "$source" .cpp)" "$source" &
done
status=0
for job in $(jobs -p); do wait "$job" || status=1; done
exit $status

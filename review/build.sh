#!/usr/bin/env bash
# Builds the stand-ins and scenarios that the scripts start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for scenario in review/[0-9]*/scenario.cpp; do
  number=$(basename "$(dirname "$scenario")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standin "$scenario" -o "target/review/scenario-$number"
done

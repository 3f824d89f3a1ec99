#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. Needs a C++20
# compiler and nothing else; sparbendd itself is built as deploy/system.toml
# says.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
  [ -f "review/$number/case.cpp" ] || continue
  c++ -std=c++20 -O1 -Wall -Wextra -pthread "review/$number/case.cpp" \
    -o "target/review-2/case-$number"
done

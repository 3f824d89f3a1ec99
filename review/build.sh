#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review/. Needs g++ alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O2 -Wall -Wextra -pthread -I review/stand_in)
for source in review/stand_in/*.cpp; do
  g++ "${flags[@]}" -c "$source" \
    -o "target/review/$(basename "$source" .cpp).o" &
done
wait
for source in review/[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" target/review/*.o -o "target/review/case-$number"
done

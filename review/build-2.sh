#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
compile=(g++ -std=c++20 -O1 -g1 -Wall -Wextra -pthread -I.)
"${compile[@]}" -c review/standins-2/world2.cc -o target/review-2/world2.o
for scene in review/{6,7,8,9,10}/scene.cc; do
  [ -f "$scene" ] || continue
  "${compile[@]}" "$scene" target/review-2/world2.o -o "target/review-2/case-$(basename "$(dirname "$scene")")"
done

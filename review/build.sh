#!/usr/bin/env bash
# Builds the stand-ins and the scenes of the scripts into build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
options=(-std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standins)
g++ "${options[@]}" -c review/standins/world.cc -o build-review/world.o
for scene in review/[1-5]/scene.cc; do
  [ -e "$scene" ] || continue
  number=$(basename "$(dirname "$scene")")
  g++ "${options[@]}" "$scene" build-review/world.o -o "build-review/scene-$number"
done

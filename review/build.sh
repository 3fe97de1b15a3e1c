#!/bin/bash
# Builds what the cases start beside build/gulltrestle (the build of the deploy file): the stand-ins, and the program with
# its optional parts, which that build leaves out.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
"${CXX:-c++}" -std=c++20 -O2 -Wall -Wextra -o build/front stand_ins/front.cpp
cmake -S . -B build -DCMAKE_BUILD_TYPE=Release
cmake --build build -j "$(nproc)"

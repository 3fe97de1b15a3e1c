#!/bin/bash
# Builds what the cases start beside build/gulltrestle (the build of the deploy file): the stand-ins, and the program with
# its optional parts, which that build leaves out.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B build -DCMAKE_BUILD_TYPE=Release
cmake --build build -j "$(nproc)"

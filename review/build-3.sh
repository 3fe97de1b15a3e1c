#!/bin/sh
# Builds what the scripts of this review start beside the program. All stand-ins are Python of the standard library, so
# there is nothing to compile: this checks that they load. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
test -x build/gulltrestle || { echo "build/gulltrestle is missing: run the build of deploy/balancer.toml first" >&2; exit 1; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/standins-3 python3 -c "import standins; standins.run_command()"

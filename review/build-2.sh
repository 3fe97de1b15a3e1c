#!/bin/sh
# The stand-ins of cases 6 to 10 are scripts of Python's standard library (review/stand-ins-2): nothing has to be
# compiled. Checks that they can be read, and that the build of the deploy file has left the router.
cd "$(dirname "$0")/.." || exit 1
test -x build/gulltrestle || { echo "build/gulltrestle is missing: run the build of deploy/balancer.toml first"; exit 1; }
for file in review/stand-ins-2/standins.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
  test -e "$file" || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done

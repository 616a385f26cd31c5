#!/bin/sh
# The stand-ins of the cases are Python and use its standard library alone, so that
# nothing is compiled. Checks that they can be read and that the product has been built.
set -eu
cd "$(dirname "$0")"
for file in lib/*.py [0-9]*/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
test -x ../target/geraniumdoor_edge

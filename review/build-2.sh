#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python programs that need no
# building, so this checks only that the interpreter reads them.
set -eu
cd "$(dirname "$0")"
for file in stand2/*.py [0-9]*/run.py; do
  case $file in
    stand2/*|6/*|7/*|8/*|9/*|10/*)
      python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" ;;
  esac
done
echo "stand-ins can be read"

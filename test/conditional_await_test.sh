#!/bin/bash
# Fails when co_await occurs in the right operand of &&, || or ?:. In conditions of loops, in co_return and in arguments, GCC 12.2 evaluates it even when it
# must be skipped.
set -uo pipefail
cd "$(dirname "$0")/.."
# Joins the lines of a statement first, since the formatter breaks lines before operators.
found=0
files=$(git ls-files 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'test/*.cpp' 'test/*.h')
[ -n "$files" ] || { echo "no sources found"; exit 1; }
while IFS= read -r file; do
    statements=$(sed 's|//.*||' "$file" | tr '\n' ' ' | tr ';{}' '\n\n\n')
    if grep -E '(&&|\|\||\?).*co_await' <<<"$statements"; then
        echo "$file: co_await in an operand that may be skipped; write two statements"
        found=1
    fi
done <<<"$files"
[ "$found" -eq 0 ] && echo "no conditional co_await"
exit "$found"

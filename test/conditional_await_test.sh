#!/bin/bash
# Fails when co_await occurs in the right operand of && or ||. GCC 12.2 evaluates that of && in the condition of a loop and in co_return
# even when the left one is false.
set -uo pipefail
cd "$(dirname "$0")/.."
# Joins the lines of a statement first, since the formatter breaks lines before operators.
found=0
while IFS= read -r file; do
    statements=$(sed 's|//.*||' "$file" | tr '\n' ' ' | tr ';{}' '\n\n\n')
    if grep -E '(&&|\|\|).*co_await' <<<"$statements"; then
        echo "$file: co_await in the right operand of && or ||; write two statements"
        found=1
    fi
done < <(git ls-files 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'test/*.cpp' 'test/*.h')
[ "$found" -eq 0 ] && echo "no conditional co_await"
exit "$found"

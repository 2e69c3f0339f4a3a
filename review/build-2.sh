#!/bin/sh
# The stand-ins of the cases 6 to 10 need only the standard library of Python 3.11, and
# nothing of them is compiled. This checks that each can be read by the interpreter.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 - review/standins2 review/standins3 review/6 review/7 review/8 review/9 review/10 <<'EOF'
import ast
import pathlib
import sys

for folder in sys.argv[1:]:
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        ast.parse(path.read_text(encoding="utf-8"), str(path))
EOF

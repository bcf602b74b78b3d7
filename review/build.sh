#!/bin/sh
# Builds what the cases start beside the deploy file's build: the stand-ins are Python and are only checked here.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -c "
import ast, pathlib, sys
sys.dont_write_bytecode = True
for path in sorted(pathlib.Path('review').rglob('*.py')):
    ast.parse(path.read_text(encoding='utf-8'), str(path))
"

#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python and need nothing but the deploy file's build: this
# checks that each can be compiled, and that the program that the scripts start can be loaded.
set -eu
cd "$(dirname "$0")/.."
for file in review/stand_ins_2.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py \
    review/10/case.py; do
    .venv/bin/python -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
PYTHONDONTWRITEBYTECODE=1 .venv/bin/python -c "import willownotch.cli, willownotch.mesh, willownotch.commands"

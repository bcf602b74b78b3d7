"""The deploy file: what the platform builds and starts, and which files belong to the sender."""

import json
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[1]
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


def test_every_loaded_module_is_listed_as_node_or_policy():
    code = (
        "import json, sys, willownotch.cli; print(json.dumps("
        "[m.__file__ for n, m in sys.modules.items() if n.startswith('willownotch')]))"
    )
    out = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, check=True).stdout
    named = [(ROOT / name).resolve() for name in DEPLOY["node"] + DEPLOY["policy"]]
    missing = [
        path
        for path in map(Path, json.loads(out))
        if not any(name == path or name in path.parents for name in named)
    ]
    assert not missing


def test_run_and_sim_are_one_process_each():
    for command in ("run", "sim"):
        assert DEPLOY[command].startswith("exec "), command
        assert not set("&|;`") & set(DEPLOY[command]), command

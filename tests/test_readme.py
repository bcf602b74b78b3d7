"""The README's library example runs as written, with the actions that it states."""

import re
from pathlib import Path

from willownotch.interface import Send, SetTimer

README = Path(__file__).parent.parent / "README.md"


def test_the_library_example_runs():
    code = re.search(r"```python\n(.*?)```", README.read_text(encoding="utf-8"), re.S).group(1)
    first = code.replace("actions = controller.handle(0.02", "later = controller.handle(0.02")
    names = {}
    exec(first, names)
    assert [type(a) for a in names["actions"]] == [Send, SetTimer]
    assert (names["actions"][0].ref, names["actions"][0].endpoint) == ("a1", 7)
    assert names["later"] == []  # a call is in flight and not overdue: nothing to do

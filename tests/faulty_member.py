"""Runs a member with file faults from a file: `faulty_member.py FAULTS SETTINGS [--bootstrap]`."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from willownotch.controlplane import member  # noqa: E402
from willownotch.files.faulty import Faulty, from_file  # noqa: E402

sys.exit(member.main(sys.argv[2], "--bootstrap" in sys.argv, Faulty(from_file(Path(sys.argv[1])))))

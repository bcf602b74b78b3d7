"""Runs the sender on a disk that fails as the file FAULTS says: `faulty_sender.py FAULTS`.

The file is read again at each operation.
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from willownotch import cli  # noqa: E402
from willownotch.files.faulty import Faulty, from_file  # noqa: E402

sys.exit(cli.main([], files=Faulty(from_file(Path(sys.argv[1])))))

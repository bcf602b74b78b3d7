"""Entry point of `python -m willownotch`."""

import sys

from willownotch.cli import main

sys.exit(main())

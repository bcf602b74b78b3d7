"""What holds for all tests: the same cases at each run, so that a verdict is a change's and no draw's."""
import os

from hypothesis import settings

settings.register_profile("short", derandomize=True, deadline=None)  # nor one of the machine's load
if not os.environ.get("WILLOWNOTCH_LONG"):  # `make long` draws anew each time
    settings.load_profile("short")

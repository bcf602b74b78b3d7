"""The file system as the sender uses it: few calls, each of which can be made to fail.

Enters: paths, bytes. Leaves: bytes, sizes, `OSError`. It decides nothing and retries nothing. The journal and
the body store reach the disk through `Files` alone, so that a test can refuse, tear, stall or end the process
at any of their operations (`willownotch.files.faulty`). `space` shares one limit between them, without any
I/O.
"""

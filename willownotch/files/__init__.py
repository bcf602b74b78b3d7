"""File system access for the sender: a few operations, each of which a test can make fail.

Input: paths and bytes. Output: bytes, sizes, `OSError`. Nothing here retries or decides anything. The journal
and the body store access the disk only through `Files`, so that a test can make any operation run out of
space, write in part, stall or kill the process (`willownotch.files.faulty`). `space` divides one disk limit
between the two without any I/O.
"""

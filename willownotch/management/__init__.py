"""Operators' calls: one line in, one line out, on an address of its own.

`core` has the lines and opens nothing, `calls` the table of calls; `edge` is the one thread that answers.
None of them waits for the owner, the journal or any lock that is held over I/O.
"""

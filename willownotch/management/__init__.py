"""Operators' calls: a line protocol on an address of its own, one line per request and answer.

`core` parses and answers lines without I/O, `calls` is the table of calls, and `server` is the thread that
serves them. None of these waits for the decision loop, the journal or a lock that is held during I/O.
"""

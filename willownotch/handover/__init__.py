"""One process hands everything over to the next, under load, on the same addresses and the same folder.

In: another process that asks (`predecessor`), or one that holds the folder already (`successor`). Out: the
state (all that the owner knows), the listening socket, open connections, and the ends of calls that were out.
`wire` cuts frames and opens nothing. Nothing here decides about messages, and nothing is written by a process
that does not hold the folder's lock.
"""

"""Bodies kept for retries: in memory up to a set size, then in files only, then not at all.

Enters: a body with its class and destination, before its message is taken on; the end of each message.
Leaves: the place where it is kept, its bytes when a relay needs them, and which messages have to make room.
It must not decide where or whether a message is sent, tell an ending itself, or block the owner's thread:
files are written and reclaimed on a thread of its own, and read by the relay's worker.

`plan` has the decisions and no I/O, `settings` the block of the settings file, `store` the thread and the
files.
"""

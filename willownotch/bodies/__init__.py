"""Storage of message bodies for retries: in memory up to a limit, then only in files, then not at all.

Input: a body with its class and destination, before its message is accepted; the end of each message.
Output: where the body is stored, its bytes when a relay needs them, and which messages have to make room.
It never decides where or whether a message is sent, never reports an outcome itself, and never blocks the
decision loop: files are written and reclaimed on the store's own thread, and read by the relay's worker.

`plan` has the decisions without I/O, `settings` the block of the settings file, `store` the thread and the
files.
"""

"""Upgrade without downtime: one process hands its state over to the next, under load, on the same addresses.

Input: another process that asks for the state (`predecessor`), or one that holds the folder (`successor`).
Output: the state (all that the decision loop knows), the listening socket, open connections, and the results
of calls that were in progress. `wire` cuts frames out of a stream and opens nothing. Nothing here decides
about messages, and a process that does not hold the folder's lock writes nothing.
"""

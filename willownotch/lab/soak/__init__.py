"""Fault tests of whole senders: real processes over loopback, with faults drawn from a seed.

In: a seed. Out: a report of what clients, endpoints and the platform saw, and which rules were broken,
counted from outside. `plan` draws and decides nothing else; `verdict` judges records alone; the rest opens
sockets and starts processes. Never loaded by `serve`.
"""

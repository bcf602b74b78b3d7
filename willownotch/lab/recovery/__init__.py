"""Fleets of senders beside one destination that fails, returns cold and may fall again, in simulated time.

In: a case, drawn from a seed. Out: what the destination was sent in each window of its slow start,
against its budget, and how much was delivered. It drives the decision module alone: no sockets, no processes,
no clock.
Never loaded by `serve`.
"""

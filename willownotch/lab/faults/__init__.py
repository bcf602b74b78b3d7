"""A stand-in for a bad network between senders, on loopback, steered by who plays with it.

In: where members listen, and a `Weather` that may change at any time. Out: doors that members advertise
instead. It reads nothing of what passes, and is never loaded by `serve`.
"""

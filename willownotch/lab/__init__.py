"""The laboratory: what studies the sender from outside. Never loaded by `serve`.

`load` sends messages at any sender on an open loop and measures latency from the intended send time.
"""

"""The control channel of a running sender: a local Unix socket that answers requests.

A request is one JSON line, and so is its answer. The channel knows no subsystem: each registers handlers for
its own requests. Off unless the `control` block of the settings file names a socket.
"""

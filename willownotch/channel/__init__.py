"""The control channel of a running sender: a local Unix socket that answers questions.

Enters: a question as one JSON line. Leaves: its answer as one. It must not know what is asked; each subsystem
registers its own questions. Off unless the `control` block of the settings file names a socket.
"""

"""The socket twin: a scenario played in real time, with real sender processes and stand-in servers on
loopback.

Partner systems, troubles, clients and the ledger are the model's own; what the model makes up of a sender is
a sender. Enters: the same scenario file. Leaves: the same result.

`loop` real time for the model's world, with sockets; `servers` partner systems' endpoints, discovery with
notices, and clients; `play` the story with processes.
"""

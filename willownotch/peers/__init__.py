"""Membership of peers without a leader: who is there, who is suspected, who is gone, and why.

Enters: a time, and messages of other members. Leaves: messages for them, and news of members. It must not
know what travels on top of it, open a socket, read a clock or draw from a random source that it was not
handed.

`core` is the protocol as a state machine, `wire` its messages as bytes, `rumours` what is still to be passed
on, `settings` the block of the settings file.
"""

"""Links between members over TCP: sealed frames, one connection a direction, each peer's queue bounded.

What enters: a name and a message, and frames from others. What leaves: messages that were authentic, to whom
it was made for, and counts. It must not know what they say: it is made with their decoder and a version of
its own, so that frames of one subsystem are none of another's. Loaded only where a part asks for it.
"""

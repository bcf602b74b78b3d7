"""Links between members over TCP: authenticated frames, one connection for each direction, bounded queues.

Input: messages for named peers, and frames from other members. Output: the authenticated messages, passed to
a callback, and traffic counts. This package must not know what the messages mean: each subsystem supplies its
own decoder and frame version, which keep its frames apart from those of others. It is imported only where a
subsystem needs it.
"""

"""Duties that one sender alone may hold at a time: leases granted by a majority, with tokens that only grow.

In: messages of other members, who is there, the time. Out: messages, whether this sender may act on a duty
now, and acts of others that are to be taken. `register` and `core` are free of I/O, clocks and threads; what
must be in the folder before an answer is handed to a callable. It must not do any duty itself: who holds one
does."""

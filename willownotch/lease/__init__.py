"""Duties that only one sender may hold at a time: leases granted by a majority, with fencing tokens.

Input: messages of other members, the members that are alive, the time. Output: messages, whether this sender
may act under a duty now, and the acts of other holders that are to be applied. `register` and `core` do no
I/O, read no clock and start no threads; a callback stores what must be durable before an answer is sent. This
package must not carry out the duties: their holders do."""

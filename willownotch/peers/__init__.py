"""Peer-to-peer membership without a leader: which members are alive, suspected or gone, and why.

Input: times, and messages of other members. Output: messages to them, and membership events. This package
must not know what the layers above it send, and its protocol must not open sockets, read a clock or use a
random source of its own.

`core` is the protocol as a state machine, `wire` its messages and their encoding, `rumours` the queue of
rumours to be passed on, `settings` the block of the settings file.
"""

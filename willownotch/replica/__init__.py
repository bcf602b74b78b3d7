"""Replicated custody: copies this sender's messages to other senders, and takes over those of lost senders.

Input: records written by the journal, the members that the membership lists, frames of other senders, the
time. Output: frames for other senders, state to store, and decisions: copied often enough, taken over, lost
to another owner. The core (`core`, `roles`, `actions`, `takeover`, `books`, `copies`, `ids`, `terms`,
`placement`) opens no socket or file and reads no clock; its random numbers come from a generator passed in.
`store` and `service` do the I/O. This package decides which sender owns a message; the decision module
decides where and when the message is sent.
"""

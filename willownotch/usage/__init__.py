"""Usage of each tenant, counted over all instances without a leader.

Enters: what this instance counts, a time, and messages of other instances. Leaves: messages for them, and
answers with the interval that the true count lies in. It must not know how messages travel, open a socket or
a file, or read a clock.

`core` is the replicated state, `settled` the part of instances that are gone, `estimate` the error model,
`windows` rates over spans, `limits` what an instance may still let through, `wire` the messages, `book` this
instance's own counts in the folder that lasts, `settings` the block of the settings file.
"""

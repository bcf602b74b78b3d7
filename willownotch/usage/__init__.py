"""Usage of each tenant, counted over all instances without a leader.

Takes in what this instance counts, the time, and messages of other instances. Gives out messages for them,
and reports with an interval that contains each true count. Apart from `store` and `service`, the package
does not depend on how messages travel, opens no socket or file, and reads no clock.

`core` is the replicated state, `settled` the counts of sessions that are over, `estimate` the error model,
`windows` rates over spans of time, `limits` what an instance may still let through, and `wire` the messages.
`tally` makes this instance's own counts, `store` keeps them in the state folder, `layer` schedules the
exchanges, and `service` counts in a running sender. `simulated` is a fleet for tests, `settings` the block of
the settings file.
"""

"""An open-loop load generator.

Enters: a plan of arrivals, drawn ahead from settings or read from a trace. Leaves: a record of latencies,
outcomes and of how well the generator kept its own schedule. It must not let an answer, or the lack of one,
change when the next message goes out.

`settings` the block of the settings file, `plan` the arrivals, `trace` recorded ones, `core` the generator
without I/O, `record` what was measured, `edge` sockets and processes, `command` the sub-command.
"""

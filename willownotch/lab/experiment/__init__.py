"""Experiments: scenarios x loads x policies x seeds, kept in a database, compared by paired seeds, reported.

Enters: an experiment file. Leaves: a database of results, tables and charts. It must not call a difference
one where the seeds say that it is noise, nor play a case twice that it has.

`settings` the block, `cases` what is to be played, `store` SQLite, `run` all cores with resumption, `compare`
paired differences, `report` tables and charts, `command` the sub-commands.
"""

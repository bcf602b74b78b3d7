"""Where a day's worth goes: what each message came to, and what each price and each part of the goal took.

`trace` runs a sender that writes a line for all that happens to its messages; `account` adds the lines of all
senders up. In: the logs of one day, the site's goal and prices, the bench's report. Out: a table. It decides
nothing, and a traced day is a trial: writing lines costs processor time.
"""

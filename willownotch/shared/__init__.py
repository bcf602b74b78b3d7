"""State that senders share, and that stays within stated bounds where part of the fleet is cut off.

Input: messages of other members, this sender's own demand and judgements of endpoints, the time. Output: this
sender's part of each budget, and what others say of endpoints, each with an age and a fallback. `budgets` and
`judgements` are pure logic: no I/O and no clock; the random generator is passed in. Neither rejects a message
or decides on an endpoint by itself: the decision module does that, and gets all of this as events.

| value | valid for | afterwards |
| --- | --- | --- |
| borrowed part of a budget | the loan's duration, by both clocks | the lender's again; the own part is left |
| others' judgement of an endpoint | `judgement`, since its source affirmed it | local knowledge alone |
| a limit that others were told | the same | no limit |
"""

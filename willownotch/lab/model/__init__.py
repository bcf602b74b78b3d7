"""A model of what the sender serves, in simulated time: clients, senders, discovery, partner systems,
troubles.

Enters: a scenario, a policy (the decision module, or another one behind its interface) and a seed. Leaves:
what became of each message, what it was worth, and each breach of a rule with its message, time and call.
The same scenario, policy and seed give the same story on any machine. It must not read a clock, nor let a
policy see more than the interface shows.

`scenario` settings, `world` time and random numbers, `partners` those delivered to, `node` a sender around
the policy, `story` puts them together and plays, `ledger` counts worth and watches the rules, `baselines`
other policies.
"""

"""Explicit-state checks of protocols: every state that a small model can reach, by breadth first.

In: a first state, what can happen in a state, what must hold. Out: how many states there are, or the
shortest way to one in which it does not. Nothing here runs in a sender."""

"""The control plane: nine members agree on one versioned document, senders follow it.

What enters: changes of configuration, by operators at any member. What leaves: one sequence of revisions,
the same everywhere, each accepted by a majority of the members before anybody follows it, and how many
senders have which one in force. It must not decide anything about messages, and no sender needs it to go on:
one that hears of no member keeps the last revision that it had.

`document` is what is agreed on, `commit` how members agree, `serving` how a member serves its followers,
`follower` the sender's side of that; all four are free of I/O. `member` and `sender` are their edges, `store`
is the folder, `entries` the entries that a sender can apply.
"""

"""The control plane: nine members agree on one versioned document, and senders follow it.

Its input are configuration changes, which operators submit at any member. Its output is one sequence of
revisions, the same at all members and senders, and the number of senders that apply each. A majority of the
members has accepted a revision before any sender follows it. The control plane makes no decisions about
messages, and no sender depends on it to run: one that reaches no member keeps its last revision.

`document` is the document, `commit` the agreement among members, `serving` how a member serves its followers,
and `follower` the sender's side of that; all four are free of I/O. `member` and `sender` do the I/O for them,
`store` is the folder on disk, and `entries` defines the entries that a sender can apply.
"""

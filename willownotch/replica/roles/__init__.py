"""The roles of a sender in custody. They share `state.CoreState`, and perform no I/O and read no clock."""

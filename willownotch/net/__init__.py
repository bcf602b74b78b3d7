"""The sender as a process: sockets, journal and discovery around the decision module."""

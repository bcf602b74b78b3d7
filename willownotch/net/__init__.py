"""The real sender: sockets, journal and discovery round the decision module."""

"""Pure decisions of damaskspindle: no sockets, clock, files or randomness of their own."""

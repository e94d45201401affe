"""The operator command line of damaskspindle."""

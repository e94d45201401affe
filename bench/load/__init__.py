"""The open-loop load generator, which checks every answer."""

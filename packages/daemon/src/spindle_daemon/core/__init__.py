"""The running instance: event bus, clock and the interfaces between components."""

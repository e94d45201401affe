"""The stand-in upstream: a process that simulates an upstream and records its executions."""

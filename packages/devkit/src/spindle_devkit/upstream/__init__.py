"""The stand-in upstream: a process that behaves as real upstreams do, and records what it ran."""

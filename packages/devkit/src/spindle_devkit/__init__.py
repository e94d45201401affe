"""Development tools: stand-in upstream, fault proxy and load generator."""

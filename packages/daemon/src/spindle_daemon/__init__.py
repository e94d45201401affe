"""The damaskspindle daemon: entry and control roles over one event loop."""

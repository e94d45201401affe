"""Which instances live, and which are leaving."""

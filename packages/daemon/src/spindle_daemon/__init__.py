"""The damaskspindle daemon, which runs one entry or control instance."""

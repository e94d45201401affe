"""The open-loop load generator and its checks of every answer."""

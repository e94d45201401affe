"""Decisions made while a request is served, without sockets or clocks of their own."""

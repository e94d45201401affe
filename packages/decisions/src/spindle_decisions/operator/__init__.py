"""Requests of operators to control instances, and the replies."""

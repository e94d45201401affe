"""JSON data types of the command line."""

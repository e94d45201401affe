"""Release notes: parsing, checking and applying."""

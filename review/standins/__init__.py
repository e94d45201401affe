"""Stand-ins of the cases in review/: platform, backends, clients, operator and a proxy."""

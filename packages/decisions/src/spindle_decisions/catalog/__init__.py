"""The deployment as agreed: data centres, groups, services and upstreams."""

"""The replicated model of the deployment: data centres, groups, services and upstreams."""

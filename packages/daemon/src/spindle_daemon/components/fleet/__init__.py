"""Fleet of a deployment with routes: discovery, plan updates and the list of upstreams."""

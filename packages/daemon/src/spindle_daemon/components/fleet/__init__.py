"""The fleet of a deployment that serves routes: discovery, news and the list of upstreams."""

"""Readiness endpoint for the load balancer."""

from collections.abc import Callable, Iterable
from typing import Any


class ReadinessApplication:
    """Returns status 200 while the instance accepts new connections, else 503."""

    def __init__(self, endpoint: str, is_ready: Callable[[], bool]) -> None:
        self.endpoint = endpoint
        self.is_ready = is_ready

    def __call__(self, environ: dict[str, Any], start: Callable[..., Any]) -> Iterable[bytes]:
        """Handle one request."""
        requested = f"{environ['REQUEST_METHOD']} {environ['PATH_INFO']}"
        if requested != self.endpoint:
            start("404 Not Found", [("Content-Length", "0")])
        elif self.is_ready():
            start("200 OK", [("Content-Length", "0")])
        else:
            start("503 Service Unavailable", [("Content-Length", "0")])
        return []

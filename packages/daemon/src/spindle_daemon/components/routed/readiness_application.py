"""The endpoint that the balancer asks."""

from collections.abc import Callable, Iterable
from typing import Any


class ReadinessApplication:
    """Answers 200 while the instance wants new connections, else 503."""

    def __init__(self, call: str, ready: Callable[[], bool]) -> None:
        self.call = call
        self.ready = ready

    def __call__(self, environ: dict[str, Any], start: Callable[..., Any]) -> Iterable[bytes]:
        """Answer one question."""
        asked = f"{environ['REQUEST_METHOD']} {environ['PATH_INFO']}"
        if asked != self.call:
            start("404 Not Found", [("Content-Length", "0")])
        elif self.ready():
            start("200 OK", [("Content-Length", "0")])
        else:
            start("503 Service Unavailable", [("Content-Length", "0")])
        return []

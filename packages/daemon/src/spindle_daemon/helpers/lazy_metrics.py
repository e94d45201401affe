"""Metrics that are set up at the first scrape."""

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from prometheus_client.registry import Collector

_factories: list[Callable[[], "Collector"]] = []


def register_lazily(factory: Callable[[], "Collector"]) -> None:
    """Register a factory whose collector is created at the first scrape.

    The metrics library is imported only then, which keeps process start short.
    """
    _factories.append(factory)


def render_metrics() -> tuple[bytes, str]:
    """Return all metrics as text, and its content type."""
    import prometheus_client

    while _factories:
        prometheus_client.REGISTRY.register(_factories.pop(0)())
    return prometheus_client.generate_latest(), prometheus_client.CONTENT_TYPE_LATEST

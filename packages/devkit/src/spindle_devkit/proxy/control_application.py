"""The HTTP control API of the fault proxy."""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from spindle_devkit.proxy import const
from spindle_devkit.proxy.link import Link
from spindle_devkit.proxy.link_change import LinkChange

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
_HEADERS = [("Content-Type", "application/json")]


class ControlApplication:
    """Changes links; each successful response lists the status of all links."""

    def __init__(self, links: dict[str, Link]) -> None:
        self.links = links

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Answer one request of a test or an experiment."""
        if environ["PATH_INFO"] != const.PATH_LINKS:
            start("404 Not Found", list(_HEADERS))
            return [b"{}"]
        if environ["REQUEST_METHOD"] == "POST":
            try:
                self._change(environ["wsgi.input"].read())
            except (msgspec.DecodeError, KeyError) as err:
                start("400 Bad Request", list(_HEADERS))
                return [msgspec.json.encode({"text": str(err)})]
        start("200 OK", list(_HEADERS))
        return [msgspec.json.encode([link.status() for link in self.links.values()])]

    def _change(self, body: bytes) -> None:
        change = msgspec.json.decode(body, type=LinkChange)
        selected = [self.links[change.link]] if change.link else list(self.links.values())
        for link in selected:
            link.apply(change)

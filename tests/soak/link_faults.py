"""Faults of the ways to upstreams and of the platform's list."""

import msgspec

from tests.soak.document import SERVICES
from tests.soak.span import Kind, Span
from tests.soak.stage import LIST_LINK, Stage

LINK_DELAY_MS = 120.0
LIST_STATUSES = ("429 Too Many Requests", "500 Broken", "200 OK")
# A page that is cut short.
NO_PAGE = b"{"
MALFORMED = [{"id": 7}, "text", None]


class LinkFaults:
    """Changes the links of the fault proxy, and what the platform answers."""

    def __init__(self, stage: Stage) -> None:
        self.stage = stage

    def kinds(self) -> dict[str, Kind]:
        """Return the faults by kind."""
        return {
            "link-delay": (SERVICES, self.link_delay),
            "link-reset": (SERVICES, self.link_reset),
            "link-cut-there": (SERVICES, self.link_cut_there),
            "link-cut-back": (SERVICES, self.link_cut_back),
            "list-gone": (LIST_STATUSES, self.list_gone),
            "list-silent": (("list",), self.list_silent),
            "list-malformed": (("list",), self.list_malformed),
        }

    def link_delay(self, service: str) -> Span:
        """Slow the way to one upstream."""
        yield from self._linked(service, {"delay_ms": LINK_DELAY_MS}, {"delay_ms": 0.0})

    def link_reset(self, service: str) -> Span:
        """Reset the connections to one upstream."""
        yield from self._linked(service, {"reset": True}, {"reset": True})

    def link_cut_there(self, service: str) -> Span:
        """Hold what is sent to one upstream."""
        yield from self._linked(service, {"cut_forward": True}, {"cut_forward": False})

    def link_cut_back(self, service: str) -> Span:
        """Hold what one upstream answers."""
        yield from self._linked(service, {"cut_backward": True}, {"cut_backward": False})

    def list_gone(self, status: str) -> Span:
        """Answer every read of the list with this status and no page."""
        self.stage.fleet.platform.pages[""] = (status, NO_PAGE)
        yield
        self.stage.list_upstreams()

    def list_silent(self, _target: str) -> Span:
        """Answer no read of the list."""
        self.stage.link(LIST_LINK, cut_backward=True)
        yield
        self.stage.link(LIST_LINK, cut_backward=False, reset=True)

    def list_malformed(self, _target: str) -> Span:
        """Add entries of other writers to the list."""
        status, body = self.stage.fleet.platform.pages[""]
        page = msgspec.json.decode(body) if body != NO_PAGE else {"instances": []}
        if page["instances"]:
            page["instances"] += MALFORMED
            self.stage.fleet.platform.pages[""] = (status, msgspec.json.encode(page))
        yield
        self.stage.list_upstreams()

    def _linked(self, service: str, begin: dict[str, object], end: dict[str, object]) -> Span:
        places = self.stage.places(service)[:1]
        for place in places:
            self.stage.link(str(place), **begin)
        yield
        for place in places:
            self.stage.link(str(place), **end)

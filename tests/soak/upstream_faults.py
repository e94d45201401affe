"""Faults of upstreams and burdens by callers."""

import gevent

from tests.soak import const
from tests.soak.callers import Callers
from tests.soak.document import SERVICES
from tests.soak.span import Kind, Span
from tests.soak.stage import Stage
from tests.soak.upstream import MOODS


class UpstreamFaults:
    """Has upstreams misbehave and leave, and callers come at once and go early."""

    def __init__(self, stage: Stage, callers: Callers) -> None:
        self.stage = stage
        self.callers = callers

    def kinds(self) -> dict[str, Kind]:
        """Return the faults by kind."""
        return {
            "upstream": (SERVICES, self.upstream_mood),
            "all-upstreams": (SERVICES, self.service_mood),
            "upstream-replaced": (SERVICES, self.upstream_replaced),
            "burst": (const.ENTRIES, self.burst),
            "callers-leave": (const.ENTRIES, self.callers_leave),
        }

    def upstream_mood(self, service: str) -> Span:
        """Have one upstream of a service misbehave."""
        yield from self._moody(self.stage.places(service)[:1])

    def service_mood(self, service: str) -> Span:
        """Have all upstreams of a service misbehave alike."""
        yield from self._moody(self.stage.places(service))

    def upstream_replaced(self, service: str) -> Span:
        """Drain an upstream; another one takes over, and its address serves another service."""
        places = self.stage.places(service)
        free = [place for place in range(len(self.stage.near)) if place not in self.stage.upstreams]
        if not free or len(places) < const.UPSTREAMS_PER_SERVICE:
            yield
            return
        leaving = self.stage.upstreams[places[0]]
        self.stage.draining.add(leaving.name)
        self.stage.place(service, free[0])
        self.stage.list_upstreams()
        yield
        if self.stage.upstreams.get(places[0]) is leaving:
            self.stage.retire(places[0])
            self.stage.list_upstreams()

    def burst(self, entry: str) -> Span:
        """Have many callers come at once."""
        sent = self.callers.burst(entry)
        yield
        gevent.joinall(sent)

    def callers_leave(self, entry: str) -> Span:
        """Have callers leave before their answer."""
        for _ in range(const.BURST):
            self.callers.leave(entry)
        yield

    def _moody(self, places: list[int]) -> Span:
        upstreams = [self.stage.upstreams[place] for place in places]
        mood = self.stage.rng.choice(MOODS)
        for upstream in upstreams:
            upstream.mood = mood
        yield
        for upstream in upstreams:
            upstream.mood = ""

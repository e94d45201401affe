"""Faults of upstreams and load bursts by callers."""

import gevent

from tests.soak import const
from tests.soak.callers import SoakCallers
from tests.soak.fault_generator import FaultGenerator, FaultKind
from tests.soak.plan_document import SERVICES
from tests.soak.soak_environment import SoakEnvironment
from tests.soak.upstream import MISBEHAVIORS


class UpstreamFaults:
    """Makes upstreams misbehave or drain, and callers send bursts or disconnect early."""

    def __init__(self, environment: SoakEnvironment, callers: SoakCallers) -> None:
        self.environment = environment
        self.callers = callers

    def kinds(self) -> dict[str, FaultKind]:
        """Return the faults by kind."""
        return {
            "upstream": (SERVICES, self.upstream_misbehaves),
            "all-upstreams": (SERVICES, self.service_misbehaves),
            "upstream-replaced": (SERVICES, self.upstream_replaced),
            "burst": (const.ENTRIES, self.burst),
            "callers-leave": (const.ENTRIES, self.callers_leave),
        }

    def upstream_misbehaves(self, service: str) -> FaultGenerator:
        """Make one upstream of a service misbehave."""
        yield from self._misbehave(self.environment.address_indexes(service)[:1])

    def service_misbehaves(self, service: str) -> FaultGenerator:
        """Make all upstreams of a service misbehave in the same way."""
        yield from self._misbehave(self.environment.address_indexes(service))

    def upstream_replaced(self, service: str) -> FaultGenerator:
        """Drain an upstream, start its replacement, and free its address for another service."""
        indexes = self.environment.address_indexes(service)
        free = [
            index
            for index in range(len(self.environment.listed_ports))
            if index not in self.environment.upstreams
        ]
        if not free or len(indexes) < const.UPSTREAMS_PER_SERVICE:
            yield
            return
        leaving = self.environment.upstreams[indexes[0]]
        self.environment.draining.add(leaving.name)
        self.environment.start_upstream(service, free[0])
        self.environment.list_upstreams()
        yield
        if self.environment.upstreams.get(indexes[0]) is leaving:
            self.environment.retire(indexes[0])
            self.environment.list_upstreams()

    def burst(self, entry: str) -> FaultGenerator:
        """Send a burst of requests to an entry instance."""
        requests = self.callers.burst(entry)
        yield
        gevent.joinall(requests)

    def callers_leave(self, entry: str) -> FaultGenerator:
        """Make callers disconnect before their answer."""
        for _ in range(const.BURST_REQUESTS):
            self.callers.disconnect_early(entry)
        yield

    def _misbehave(self, indexes: list[int]) -> FaultGenerator:
        upstreams = [self.environment.upstreams[index] for index in indexes]
        misbehavior = self.environment.rng.choice(MISBEHAVIORS)
        for upstream in upstreams:
            upstream.misbehavior = misbehavior
        yield
        for upstream in upstreams:
            upstream.misbehavior = ""

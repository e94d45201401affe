"""Proposes claims directly to a control instance, without an entry."""

import random
import uuid

import gevent
from hdrh.histogram import HdrHistogram

from bench.deployment import KEY, Deployment
from bench.ports import LOOPBACK, free_ports
from spindle_daemon.components.control_link.proposal_client import ProposalClient
from spindle_daemon.core.clock import SystemClock
from spindle_daemon.mesh.transport import MeshTransport
from spindle_decisions.commands.claim_run import ClaimRun
from spindle_decisions.exceptions import SpindleError
from spindle_decisions.timeline.hybrid_clock import HybridClock
from spindle_decisions.util.units import US_PER_S
from spindle_decisions.wire.frame_codec import FrameCodec

MAX_LATENCY_US = 60_000_000
PROPOSE_TIMEOUT_S = 10.0
UUID_VERSION_SHIFT = 76
UUID_TIME_SHIFT = 80


class ClaimClient:
    """Proposes claims from several greenlets and measures the time until each is committed."""

    def __init__(self, deployment: Deployment, leader: str) -> None:
        self.clock = SystemClock()
        address = f"tcp://{LOOPBACK}:{free_ports(1)[0]}"
        hybrid = HybridClock(self.clock.wall_ms)
        self.transport = MeshTransport("claim-client", address, FrameCodec(KEY), hybrid)
        self.transport.start()
        target = f"tcp://{LOOPBACK}:{deployment.instances[leader].mesh_port}"
        self.client = ProposalClient(self.clock, self.transport, address, lambda _attempt: target)
        self.times_us = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.failed = 0

    def run(self, duration_s: float, greenlets: int) -> None:
        """Propose claims for `duration_s`, each greenlet one after the other."""
        until = self.clock.now() + duration_s
        gevent.joinall([gevent.spawn(self._claim_until, until) for _ in range(greenlets)])

    def close(self) -> None:
        """Close the transport."""
        self.transport.close()

    def _claim_until(self, until: float) -> None:
        while (started := self.clock.now()) < until:
            command = ClaimRun(
                new_request_id(self.clock.wall_ms()), "digest", uuid.uuid4().hex, "bench", 0
            )
            try:
                self.client.propose(command, PROPOSE_TIMEOUT_S)
            except SpindleError:
                self.failed += 1
                continue
            self.times_us.record_value(max(1, int((self.clock.now() - started) * US_PER_S)))


def new_request_id(wall_ms: int) -> str:
    """Return a UUID of version 7 for a time in Unix milliseconds."""
    value = wall_ms << UUID_TIME_SHIFT | random.getrandbits(UUID_TIME_SHIFT)
    value &= ~(0xF << UUID_VERSION_SHIFT)
    value |= 0x7 << UUID_VERSION_SHIFT
    value &= ~(0x3 << 62)
    value |= 0x2 << 62
    return str(uuid.UUID(int=value))

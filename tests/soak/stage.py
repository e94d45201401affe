"""The fleet under soak with its upstreams, list and links."""

import pathlib
import random
import time

import msgspec
from bench.fault_proxy import FaultProxy
from bench.ports import LOOPBACK, free_ports

from tests.fleet.loopback_fleet import LoopbackFleet, wait_until
from tests.platform.test_upstream_source import VALID_ENTRY
from tests.soak import const
from tests.soak.document import SERVICES
from tests.soak.run import Run
from tests.soak.upstream import SoakUpstream
from tests.soak.warp import WARP_SUFFIX, Warp

LIST_LINK = "list"
SPARE_PLACES = 2


class Stage:
    """Everything that the faults may touch.

    A place is an address: the port that the list names, and behind the fault proxy
    the port that an upstream listens on. Places outlive the upstreams in them.
    """

    def __init__(self, folder: pathlib.Path, rng: random.Random) -> None:
        self.rng = rng
        self.fleet = LoopbackFleet(folder, "tests.soak.warped_start")
        self.runs: list[Run] = []
        # When callers sent which kind of request.
        self.sent: list[tuple[float, str]] = []
        self.upstreams: dict[int, SoakUpstream] = {}
        self.retired: list[SoakUpstream] = []
        self.draining: set[str] = set()
        self.given = 0
        self.started_at: dict[str, float] = {}
        count = len(SERVICES) * const.UPSTREAMS_PER_SERVICE + SPARE_PLACES
        self.near = free_ports(count)
        self.behind = free_ports(count)
        self.list_port, admin_port = free_ports(2)
        pairs = zip(self.near, self.behind, strict=True)
        ways = {str(place): pair for place, pair in enumerate(pairs)}
        ways[LIST_LINK] = (self.list_port, self.fleet.platform_port)
        self.proxy = FaultProxy("proxy", admin_port, ways)
        self.names = (*const.CONTROLS, *const.ENTRIES)

    def start(self) -> None:
        """Start proxy, upstreams and all instances."""
        for place in range(len(self.near) - SPARE_PLACES):
            self.place(SERVICES[place % len(SERVICES)], place)
        self.fleet.processes[self.proxy.name] = self.proxy.start(self.fleet.folder)
        wait_until("the fault proxy", self._proxy_answers)
        self.fleet.platform_port = self.list_port
        self.list_upstreams()
        for name in self.names:
            self.start_instance(name, founding=True)

    def start_instance(self, name: str, founding: bool = False) -> None:
        """Start an instance unless it runs."""
        process = self.fleet.processes.get(name)
        if process is not None and process.running:
            return
        self.fleet.start(name, founding=founding)
        self.started_at[name] = time.monotonic()

    def warp(self, name: str, warp: Warp) -> None:
        """Set what misbehaves in a process."""
        path = self.fleet.folder / f"{name}{WARP_SUFFIX}"
        new = path.with_suffix(".new")
        new.write_bytes(msgspec.json.encode(warp))
        new.rename(path)

    def place(self, service: str, place: int) -> SoakUpstream:
        """Start a new upstream at a free place."""
        self.given += 1
        name = f"i-{self.given}"
        made = SoakUpstream(name, service, self.behind[place], self.rng, self.runs)
        self.upstreams[place] = made
        return made

    def retire(self, place: int) -> None:
        """End the upstream at a place; its address is free for another."""
        gone = self.upstreams.pop(place)
        gone.server.stop()
        self.draining.discard(gone.name)
        self.retired.append(gone)

    def places(self, service: str) -> list[int]:
        """Return the places of the upstreams of a service that are not draining."""
        return [
            place
            for place, upstream in self.upstreams.items()
            if upstream.service == service and upstream.name not in self.draining
        ]

    def list_upstreams(self) -> None:
        """Have the platform list all upstreams."""
        entries = [
            {
                **VALID_ENTRY,
                "id": item.name,
                "service": item.service,
                "address": f"{LOOPBACK}:{self.near[place]}",
                "maxConcurrency": const.SLOTS,
                "state": "draining" if item.name in self.draining else "ready",
            }
            for place, item in self.upstreams.items()
        ]
        self.fleet.platform.serve("", entries)

    def link(self, name: str = "", **faults: object) -> None:
        """Change a link of the fault proxy, or all of them."""
        self.proxy.change(name, **faults)

    def restore(self) -> None:
        """End every disturbance; what does not run is started."""
        for upstream in self.upstreams.values():
            upstream.mood = ""
        self.link(delay_ms=0.0, cut_forward=False, cut_backward=False)
        self.list_upstreams()
        for name in self.names:
            self.warp(name, Warp())
            self.fleet.processes[name].resume()
            self.start_instance(name)

    def close(self) -> None:
        """End all processes and servers."""
        self.fleet.close()
        for upstream in self.upstreams.values():
            upstream.server.stop()

    def _proxy_answers(self) -> bool:
        try:
            return self.proxy.is_ready()
        except OSError:
            return False

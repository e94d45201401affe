"""The faults: each is a generator that begins it, yields, and ends it."""

import shutil
import signal
from collections.abc import Callable, Iterator

import gevent
import msgspec

from tests.soak import const
from tests.soak.callers import Callers
from tests.soak.document import SERVICES
from tests.soak.fault import Fault
from tests.soak.ledger import Ledger
from tests.soak.process_watch import ProcessWatch
from tests.soak.quiet import Quiet
from tests.soak.stage import LIST_LINK, Stage
from tests.soak.upstream import MOODS
from tests.soak.warp import Warp

Span = Iterator[None]
STOP_POLL_S = 0.05
CLOCK_STEPS_MS = (-7_200_000, -20_000, 20_000, 86_400_000)
DISK_WAIT_S = 0.05
LINK_DELAY_MS = 120.0
MALFORMED = [{"id": 7}, "text", None]


class Faults:
    """Plays drawn faults against the stage."""

    def __init__(
        self, stage: Stage, ledger: Ledger, quiet: Quiet, watch: ProcessWatch, callers: Callers
    ) -> None:
        self.stage = stage
        self.ledger = ledger
        self.quiet = quiet
        self.watch = watch
        self.callers = callers
        self.warps: dict[str, Warp] = {}
        # Counts what is done to each process, to know whether a planned stop was disturbed.
        self.touched: dict[str, int] = dict.fromkeys(stage.names, 0)
        self.kinds: dict[str, tuple[tuple[str, ...], Callable[[str], Span]]] = {
            "kill": (stage.names, self.kill),
            "kill-all-controls": (("all",), self.kill_all_controls),
            "kill-everything": (("all",), self.kill_everything),
            "empty-disk": (const.CONTROLS, self.empty_disk),
            "planned-stop": (stage.names, self.planned_stop),
            "freeze": (stage.names, self.freeze),
            "new-settings": (stage.names, self.new_settings),
            "clock-step": (stage.names, self.clock_step),
            "disk-full": (const.CONTROLS, self.disk_full),
            "disk-slow": (const.CONTROLS, self.disk_slow),
            "one-way-cut": (stage.names, self.one_way_cut),
            "isolate": (stage.names, self.isolate),
            "link-delay": (SERVICES, self.link_delay),
            "link-reset": (SERVICES, self.link_reset),
            "link-cut-there": (SERVICES, self.link_cut_there),
            "link-cut-back": (SERVICES, self.link_cut_back),
            "list-gone": (("429 Too Many Requests", "500 Broken", "200 OK"), self.list_gone),
            "list-silent": (("list",), self.list_silent),
            "list-malformed": (("list",), self.list_malformed),
            "upstream": (SERVICES, self.upstream_mood),
            "all-upstreams": (SERVICES, self.service_mood),
            "upstream-replaced": (SERVICES, self.upstream_replaced),
            "burst": (const.ENTRIES, self.burst),
            "callers-leave": (const.ENTRIES, self.callers_leave),
        }

    def play(self, fault: Fault) -> None:
        """Begin a fault, hold it and end it."""
        gevent.sleep(fault.at_s)
        self.ledger.fault(fault.kind, f"{fault.target} for {fault.for_s:.1f} s")
        self.quiet.begin()
        try:
            span = self.kinds[fault.kind][1](fault.target)
            next(span)
            gevent.sleep(fault.for_s)
            next(span, None)
        finally:
            self.quiet.end()

    def kill(self, name: str) -> Span:
        """End a process at once; it comes back with its disk."""
        self._end(name)
        yield
        self._back(name)

    def kill_all_controls(self, _target: str) -> Span:
        """End all control instances at once."""
        yield from self._kill_many(const.CONTROLS)

    def kill_everything(self, _target: str) -> Span:
        """End all instances at once."""
        yield from self._kill_many(self.stage.names)

    def empty_disk(self, name: str) -> Span:
        """End a control instance; it comes back with an empty disk."""
        self._end(name)
        shutil.rmtree(self.stage.fleet.folder / name, ignore_errors=True)
        yield
        self._back(name)

    def planned_stop(self, name: str) -> Span:
        """Ask an instance to stop, and start it again once it has."""
        process = self.stage.fleet.processes[name]
        self._touch(name)
        if not process.running:
            yield
            return
        self.watch.ended.add(name)
        touched, child = self.touched[name], process.child
        process.terminate()
        with gevent.Timeout(const.STOP_S + const.SLACK_S, False):
            while process.running:
                gevent.sleep(STOP_POLL_S)
        if touched == self.touched[name] and child is not None:
            ended = child.poll()
            self.ledger.check("a planned stop ends well and in time", ended == 0, (name, ended))
        yield
        self._end(name)
        self._back(name)

    def freeze(self, name: str) -> Span:
        """Suspend a process for a while."""
        self._touch(name)
        self.stage.fleet.processes[name].freeze()
        yield
        self.stage.fleet.processes[name].wake()

    def new_settings(self, name: str) -> Span:
        """Change the seeds with a signal, and back without one."""
        self._touch(name)
        self.stage.fleet.write_settings(name, False, (3, 2))
        self.stage.fleet.processes[name].send_signal(signal.SIGHUP)
        yield
        self.stage.fleet.write_settings(name, False)

    def clock_step(self, name: str) -> Span:
        """Step the wall clock of a process, and back."""
        step = self.stage.rng.choice(CLOCK_STEPS_MS)
        yield from self._warped(name, wall_offset_ms=step)

    def disk_full(self, name: str) -> Span:
        """Refuse writes."""
        self.watch.bad_disks[name] = 0
        yield from self._warped(name, disk_full=True)
        self.watch.look(name)
        self.watch.bad_disks.pop(name, None)

    def disk_slow(self, name: str) -> Span:
        """Let each write and sync wait."""
        yield from self._warped(name, disk_wait_s=DISK_WAIT_S)

    def one_way_cut(self, name: str) -> Span:
        """Let nothing from a process reach one other."""
        others = [item for item in self.stage.names if item != name]
        muted = self._address(self.stage.rng.choice(others))
        yield from self._warped(name, mute=(muted,))

    def isolate(self, name: str) -> Span:
        """Cut a process off from all others, both ways."""
        others = [item for item in self.stage.names if item != name]
        for other in others:
            self._warp(other, mute=(self._address(name),))
        yield from self._warped(name, mute=tuple(map(self._address, others)))
        for other in others:
            self._warp(other, mute=())

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
        self.stage.fleet.platform.pages[""] = (status, b"{")
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
        page = msgspec.json.decode(body) if body != b"{" else {"instances": []}
        if page["instances"]:
            page["instances"] += MALFORMED
            self.stage.fleet.platform.pages[""] = (status, msgspec.json.encode(page))
        yield
        self.stage.list_upstreams()

    def upstream_mood(self, service: str) -> Span:
        """Have one upstream of a service misbehave."""
        yield from self._moody(self._places(service)[:1])

    def service_mood(self, service: str) -> Span:
        """Have all upstreams of a service misbehave alike."""
        yield from self._moody(self._places(service))

    def upstream_replaced(self, service: str) -> Span:
        """Drain an upstream; another one takes over, and its address serves another service."""
        places = self._places(service)
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

    def _kill_many(self, names: tuple[str, ...]) -> Span:
        for name in names:
            self._end(name)
        yield
        for name in names:
            self._back(name)

    def _end(self, name: str) -> None:
        self._touch(name)
        self.watch.ended.add(name)
        self.stage.fleet.processes[name].kill()

    def _back(self, name: str) -> None:
        self.stage.start_instance(name)
        self.watch.ended.discard(name)

    def _touch(self, name: str) -> None:
        self.touched[name] += 1

    def _address(self, name: str) -> str:
        return f"//{self.stage.fleet.ip(name)}:"

    def _warp(self, name: str, **changes: object) -> None:
        self.warps[name] = msgspec.structs.replace(self.warps.get(name, Warp()), **changes)
        self.stage.warp(name, self.warps[name])

    def _warped(self, name: str, **changes: object) -> Span:
        self._warp(name, **changes)
        yield
        self._warp(name, **{field: getattr(Warp(), field) for field in changes})

    def _places(self, service: str) -> list[int]:
        return [
            place
            for place, upstream in self.stage.upstreams.items()
            if upstream.service == service and upstream.name not in self.stage.draining
        ]

    def _linked(self, service: str, begin: dict[str, object], end: dict[str, object]) -> Span:
        places = self._places(service)[:1]
        for place in places:
            self.stage.link(str(place), **begin)
        yield
        for place in places:
            self.stage.link(str(place), **end)

    def _moody(self, places: list[int]) -> Span:
        upstreams = [self.stage.upstreams[place] for place in places]
        mood = self.stage.rng.choice(MOODS)
        for upstream in upstreams:
            upstream.mood = mood
        yield
        for upstream in upstreams:
            upstream.mood = ""

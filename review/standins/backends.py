"""Backends and the platform's list of them, as PROTOCOL.md describes them."""

import asyncio
import dataclasses
import itertools
import json
import socket
import struct
from collections.abc import Callable

from standins.http import Message, read_message
from standins.record import Record

RECORD_BYTES = 16


@dataclasses.dataclass(frozen=True)
class Run:
    """One run of a request at a backend."""

    at: float
    service: str
    backend: str
    request_id: str
    target: str
    stamp: str


class Backends:
    """All backends of the case in this process, and the platform's list.

    `work_s` returns how long a run takes; it may be replaced in the case.
    """

    def __init__(self, record: Record, ip_prefix: str, lag_s: float = 0.8) -> None:
        self.record = record
        self.ip_prefix = ip_prefix
        self.lag_s = lag_s
        self.runs: list[Run] = []
        self.stamps: dict[str, Run] = {}
        self.numbers = itertools.count(1)
        self.backends: dict[str, Backend] = {}
        self.list_server: asyncio.Server | None = None
        self.list_port = 0
        # An entry of another writer, as it stands in the list.
        self.foreign_entry = b""
        self.work_s: Callable[[str, str, Message], float] = lambda service, backend, request: 0.01

    async def start(self, services: dict[str, int], slots: int = 2, max_conns: int = 25) -> None:
        """Start the list and `count` backends of each service."""
        self.list_server = await asyncio.start_server(
            self._serve_list, f"{self.ip_prefix}.3.1", 0, backlog=256
        )
        self.list_port = self.list_server.sockets[0].getsockname()[1]
        for service, count in services.items():
            for _ in range(count):
                await self.add(service, slots, max_conns)

    async def add(self, service: str, slots: int = 2, max_conns: int = 25) -> "Backend":
        """Start one more backend."""
        number = next(self.numbers)
        backend = Backend(self, f"i-{number:04x}", service, slots, max_conns)
        await backend.start(f"{self.ip_prefix}.4.{number}", 0)
        self.backends[backend.name] = backend
        return backend

    def entries(self) -> list[dict[str, object]]:
        """Return the content of the list."""
        return [item.entry() for item in self.backends.values() if item.listed]

    async def _serve_list(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while request := await read_message(reader):
                status = "200 OK" if "/instances" in request.first else "404 Not Found"
                entries = [json.dumps(item).encode() for item in self.entries()]
                if self.foreign_entry:
                    entries.insert(1, self.foreign_entry)
                body = b'{"instances":[' + b",".join(entries) + b'],"nextToken":null}'
                writer.write(
                    f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Backend:
    """One backend; `kill` ends it as a crash does, `start` starts it again."""

    def __init__(
        self, owner: Backends, name: str, service: str, slots: int, max_conns: int
    ) -> None:
        self.owner = owner
        self.name = name
        self.service = service
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.max_conns = max_conns
        self.listed = True
        self.state = "ready"
        self.ip = ""
        self.port = 0
        self.server: asyncio.Server | None = None
        self.connections: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.sequence = itertools.count(1)
        self.running = 0
        self.waiting = 0

    async def start(self, ip: str, port: int) -> None:
        """Listen at the address."""
        self.server = await asyncio.start_server(self._serve, ip, port, backlog=256)
        self.ip, self.port = ip, self.server.sockets[0].getsockname()[1]

    def kill(self) -> None:
        """End as by a crash: the port refuses, and open connections are reset."""
        assert self.server is not None
        self.server.close()
        for writer in list(self.connections):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        self.connections.clear()
        self.running = self.waiting = 0

    def entry(self) -> dict[str, object]:
        """Return the entry in the platform's list."""
        return {
            "id": self.name,
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": "rennes-a",
            "version": "v1",
            "maxConcurrency": self.slot_count,
            "state": self.state,
            "warmupLeftMs": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.connections) >= self.max_conns:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.connections.add(writer)
        try:
            while request := await read_message(reader):
                if not request.complete:
                    break
                # Most backends drop a request when its connection closes.
                answer = asyncio.ensure_future(self._answer(request))
                try:
                    writer.write(await answer)
                    await writer.drain()
                finally:
                    answer.cancel()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, request: Message) -> bytes:
        load = f"{self.running},{self.waiting},{self.slot_count}"
        request_id = request.header("Damaskspindle-Request-Id")
        common = [
            f"Damaskspindle-Server-Load: {load}",
            *([f"Damaskspindle-Request-Id: {request_id}"] if request_id else []),
        ]
        target = request.first.split(" ")[1]
        if target == "/health":
            return _answer("200 OK", [*common, f"Damaskspindle-Instance-Id: {self.name}"], b"")
        refused = [*common, "Damaskspindle-Not-Executed: 1"]
        if not request_id:
            return _answer("400 Bad Request", refused, b"")
        if request.header("Damaskspindle-Expect-Instance") not in ("", self.name):
            return _answer("421 Misdirected Request", refused, b"")
        deadline_s = float(request.header("Damaskspindle-Deadline-Ms") or 60_000) / 1000
        self.waiting += 1
        try:
            async with asyncio.timeout(deadline_s):
                await self.slots.acquire()
        except TimeoutError:
            return _answer("503 Service Unavailable", refused, b"")
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            return await self._run(request, request_id, target, common, deadline_s)
        finally:
            self.running -= 1
            self.slots.release()

    async def _run(
        self, request: Message, request_id: str, target: str, common: list[str], deadline_s: float
    ) -> bytes:
        owner = self.owner
        stamp = f"{self.name[2:]}.{next(self.sequence):04x}.{request_id}"
        run = Run(owner.record.now(), self.service, self.name, request_id, target, stamp)
        owner.runs.append(run)
        owner.stamps[stamp] = run
        owner.record.add("run", service=self.service, backend=self.name, id=request_id, at=target)
        work_s = owner.work_s(self.service, self.name, request)
        if work_s > deadline_s:
            await asyncio.sleep(deadline_s)
            stamped = [*common, f"Damaskspindle-Server-Stamp: {stamp}"]
            return _answer("504 Gateway Timeout", stamped, b"")
        await asyncio.sleep(work_s)
        body = "".join(f"{stamp:>12.12}{part:04d}" for part in range(3)).encode()
        return _answer("200 OK", [*common, f"Damaskspindle-Server-Stamp: {stamp}"], body)


def _answer(status: str, headers: list[str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status}", *headers, f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body

"""A TCP proxy in front of one process, whose open connections can go silent for good."""

import asyncio


class Link:
    """One proxied connection; it holds all that must stay open while it is silent."""

    def __init__(self, *held: object) -> None:
        self.silent = False
        self.held = held


class Proxy:
    """Forwards connections to one address; counts them by the address of the caller."""

    def __init__(self, ip: str, port: int, target_ip: str) -> None:
        self.ip, self.port, self.target_ip = ip, port, target_ip
        self.server: asyncio.Server | None = None
        self.links: set[Link] = set()

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, self.ip, self.port, backlog=256)

    def silence(self) -> int:
        """Let all connections that are open now go silent; return their number.

        Their bytes vanish, and neither end hears when the other one closes. Connections
        that are opened later work.
        """
        count = 0
        for link in self.links:
            count += not link.silent
            link.silent = True
        return count

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(self.target_ip, self.port)
        except OSError:
            writer.transport.abort()
            return
        link = Link(reader, writer, far_reader, far_writer, asyncio.current_task())
        self.links.add(link)
        await asyncio.gather(
            self._pump(link, reader, far_writer), self._pump(link, far_reader, writer)
        )
        if not link.silent:
            self.links.discard(link)

    async def _pump(
        self, link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65_536):
                if not link.silent:
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        if not link.silent:
            writer.close()

"""A small HTTP/1.1 client, and the reading of messages for the servers."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Message:
    """A parsed request or answer; `complete` is false if it ended early."""

    first: str = ""
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes = b""
    complete: bool = False

    @property
    def status(self) -> int:
        """Return the status of an answer, 0 if there is none."""
        words = self.first.split(" ", 2)
        return int(words[1]) if len(words) > 1 and words[1].isdecimal() else 0

    def header(self, name: str) -> str:
        """Return the value of a header, empty if it is missing; several are joined."""
        return ", ".join(value for key, value in self.headers if key.lower() == name.lower())


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message whose body has a length or comes in chunks; `None` at the end."""
    message = Message()
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    message.first = lines[0]
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            message.headers.append((name.strip(), value.strip()))
    try:
        if "chunked" in message.header("Transfer-Encoding").lower():
            while size := int((await reader.readline()).split(b";")[0], 16):
                message.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
        else:
            message.body = await reader.readexactly(int(message.header("Content-Length") or 0))
        message.complete = True
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    return message


async def call(
    ip: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 2.0,
) -> Message:
    """Send a request on a new connection; without an answer the status is 0."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": f"{ip}:{port}", "Connection": "close", **(headers or {})}
            if body or method == "POST":
                fields["Content-Length"] = str(len(body))
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
            return await read_message(reader) or Message()
    except (OSError, TimeoutError):
        return Message()
    finally:
        if writer is not None:
            writer.close()

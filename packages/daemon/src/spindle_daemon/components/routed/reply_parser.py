"""Parser of one upstream answer."""

from typing import Any

from geventhttpclient.response import HTTPResponse


class HeaderList:
    """Headers in the order received, filled by the parser library."""

    def __init__(self) -> None:
        self.pairs: list[tuple[str, str]] = []

    def add(self, name: str, value: str) -> None:
        """Append a header."""
        self.pairs.append((name, value))

    def get(self, name: str, default: Any = None) -> Any:
        """Return the last value of a header."""
        wanted = name.lower()
        for key, value in reversed(self.pairs):
            if key.lower() == wanted:
                return value
        return default

    def clear(self) -> None:
        """Remove all headers, as after an interim answer."""
        self.pairs.clear()


class ReplyParser(HTTPResponse):
    """Parses one answer; sets `has_extra_bytes` if unrelated bytes follow it."""

    def __init__(self, method: str) -> None:
        super().__init__(method=method, headers_type=HeaderList)
        self.has_extra_bytes = False

    def _on_message_begin(self) -> None:
        if self.is_complete():
            self.has_extra_bytes = True
            raise ValueError("bytes after the answer")
        super()._on_message_begin()

    def is_complete(self) -> bool:
        """Return whether a final answer is complete."""
        return bool(self.message_complete and self.get_code() >= 200)

    def feed_data(self, data: bytes) -> None:
        """Parse bytes, or the end of the stream; ignores errors after the complete answer."""
        try:
            self.feed(data)
        except Exception:
            if not self.message_complete:
                raise
            self.has_extra_bytes = True

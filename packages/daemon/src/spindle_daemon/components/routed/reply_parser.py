"""Parser of one upstream answer."""

from typing import Any

from geventhttpclient.response import HTTPResponse

from spindle_daemon.components.routed import const
from spindle_daemon.components.routed.reply_too_long_error import ReplyTooLongError


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
    """Parses one answer; sets `has_extra_bytes` if unrelated bytes follow it.

    Raises `ReplyTooLongError` for an answer whose head, trailers or interim answers
    exceed their limits; `received_bytes` counts all bytes of the answer.
    """

    def __init__(self, method: str) -> None:
        super().__init__(method=method, headers_type=HeaderList)
        self.has_extra_bytes = False
        self.received_bytes = 0
        self.head_bytes = 0
        self.header_count = 0
        self.message_count = 0

    def _on_message_begin(self) -> None:
        if self.is_complete():
            self.has_extra_bytes = True
            raise ValueError("bytes after the answer")
        self.message_count += 1
        if self.message_count > const.MAX_INTERIM_ANSWERS + 1:
            raise ReplyTooLongError(
                "interim answers", self.message_count - 1, const.MAX_INTERIM_ANSWERS
            )
        super()._on_message_begin()

    def _on_status(self, msg: str) -> None:
        self._count_head(msg)
        super()._on_status(msg)

    def _on_header_field(self, string: str) -> None:
        self._count_head(string)
        super()._on_header_field(string)

    def _on_header_value(self, string: str) -> None:
        self._count_head(string)
        super()._on_header_value(string)

    def _flush_header(self) -> None:
        self.header_count += 1
        if self.header_count > const.MAX_ANSWER_HEADERS:
            raise ReplyTooLongError("headers", self.header_count, const.MAX_ANSWER_HEADERS)
        super()._flush_header()

    def _count_head(self, text: str) -> None:
        self.head_bytes += len(text)
        if self.head_bytes > const.MAX_ANSWER_HEAD_BYTES:
            raise ReplyTooLongError("bytes of head", self.head_bytes, const.MAX_ANSWER_HEAD_BYTES)

    def is_complete(self) -> bool:
        """Return whether a final answer is complete."""
        return bool(self.message_complete and self.get_code() >= 200)

    def feed_data(self, data: bytes) -> None:
        """Parse bytes, or the end of the stream; ignores errors after the complete answer."""
        self.received_bytes += len(data)
        if self.received_bytes > const.MAX_ANSWER_BYTES:
            raise ReplyTooLongError("bytes", self.received_bytes, const.MAX_ANSWER_BYTES)
        try:
            self.feed(data)
        except ReplyTooLongError:
            raise
        except Exception:
            if not self.message_complete:
                raise
            self.has_extra_bytes = True

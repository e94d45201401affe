"""Error of an answer that exceeds a limit."""


class ReplyTooLongError(Exception):
    """An answer has more bytes, headers or interim answers than is allowed."""

    def __init__(self, what: str, count: int, limit: int) -> None:
        super().__init__(f"answer is too long: {what} {count}, at most {limit} are read")

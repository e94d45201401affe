"""Error of an attempt that got no answer."""


class AttemptError(Exception):
    """An attempt failed; `not_sent` means that no byte of the request was sent.

    `busy` means that this instance was at its limit of connections, which is not a
    fault of the upstream. `too_long` means that the answer exceeded a limit, `broken` that
    the connection ended before any byte of an answer.
    """

    def __init__(
        self,
        reason: str,
        not_sent: bool,
        busy: bool = False,
        too_long: bool = False,
        broken: bool = False,
    ) -> None:
        super().__init__(reason)
        self.not_sent = not_sent
        self.busy = busy
        self.too_long = too_long
        self.broken = broken

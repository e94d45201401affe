"""Why a send brought no answer."""


class AttemptError(Exception):
    """A send failed; `not_sent` means that no byte of the request left.

    `busy` means that this instance had no connection to spare, which says nothing of
    the upstream.
    """

    def __init__(self, reason: str, not_sent: bool, busy: bool = False) -> None:
        super().__init__(reason)
        self.not_sent = not_sent
        self.busy = busy

"""Headers of the protocol towards upstreams."""


class HeaderDict(dict[str, str]):
    """A plain dictionary in place of the client's general header type.

    The names that are sent are written in one way only, and of a repeated
    header in an answer the last counts. Names of answers are kept in lower
    case. This halves what the client spends on headers.
    """

    def add(self, name: str, value: str) -> None:
        """Take in one header of an answer."""
        self[name.lower()] = value

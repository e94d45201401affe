"""The result of a request that was sent to many processes."""

import dataclasses
from typing import Generic, TypeVar

from spindle_cli.address import Address
from spindle_decisions.exceptions import SpindleError

ValueT = TypeVar("ValueT")


@dataclasses.dataclass(frozen=True)
class ProcessResult(Generic[ValueT]):
    """The value that one process returned, or the error of its request."""

    address: Address
    value: ValueT | None = None
    error: SpindleError | None = None

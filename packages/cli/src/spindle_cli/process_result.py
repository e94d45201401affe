"""What one process answered when all were asked."""

import dataclasses
from typing import Generic, TypeVar

from spindle_cli.address import Address
from spindle_decisions.exceptions import SpindleError

ValueT = TypeVar("ValueT")


@dataclasses.dataclass(frozen=True)
class ProcessResult(Generic[ValueT]):
    """The value that a process gave, or the error in its place."""

    address: Address
    value: ValueT | None = None
    error: SpindleError | None = None

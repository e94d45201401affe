"""Types of faults: a fault is a generator that begins it, yields, and ends it."""

from collections.abc import Callable, Iterator

FaultGenerator = Iterator[None]
# The possible targets of a fault, and the function that returns the fault of one target.
FaultKind = tuple[tuple[str, ...], Callable[[str], FaultGenerator]]

"""The form of a fault: a generator that begins it, yields, and ends it."""

from collections.abc import Callable, Iterator

FaultGenerator = Iterator[None]
# What a fault may hit, and the fault itself, which gets one of these.
FaultKind = tuple[tuple[str, ...], Callable[[str], FaultGenerator]]

"""Detection of gaps in the counts of a day."""

from itertools import pairwise

from spindle_decisions.account.gap import Gap
from spindle_decisions.account.instance_lifetime import InstanceLifetime
from spindle_decisions.account.page_window import LATE_ARRIVAL_MS, PageWindow
from spindle_decisions.account.span import Span

REASON_MISSING_MINUTES = "no summary came, or the process did not run"
REASON_MISSING_START = "the run had begun, and no summary came"
REASON_CRASH = "ended without a planned stop"
REASON_NO_SUMMARIES = "not heard of since, and had not said that it stops"


def find_gaps(lifetimes: list[InstanceLifetime], window: PageWindow) -> tuple[Gap, ...]:
    """Return the gaps of all instances within the window, sorted.

    Counts are expected for every lifetime of an instance, from its start to its
    graceful shutdown. A lifetime that ends otherwise leaves a gap up to the start
    of the next lifetime of the same instance. Without a next one the gap lasts
    to the end of the known data, because an isolated instance may still serve.
    """
    gaps: list[Gap] = []
    for index, lifetime in enumerate(lifetimes):
        following = next_lifetime(lifetimes, index)
        gaps.extend(_gaps_within(lifetime))
        gaps.extend(_gap_after(lifetime, following, window))
    clipped = (_clip(gap, window) for gap in gaps)
    return tuple(sorted(gap for gap in clipped if gap is not None))


def next_lifetime(lifetimes: list[InstanceLifetime], index: int) -> InstanceLifetime | None:
    """Return the next lifetime of the same instance, or `None`."""
    if index + 1 == len(lifetimes) or lifetimes[index + 1].instance != lifetimes[index].instance:
        return None
    return lifetimes[index + 1]


def is_still_running(
    lifetime: InstanceLifetime, following: InstanceLifetime | None, window: PageWindow
) -> bool:
    """Return whether a lifetime continues at the end of the known data."""
    if lifetime.has_clean_shutdown() or following is not None:
        return False
    return lifetime.end_ms() >= min(window.to_ms, window.asked_ms - LATE_ARRIVAL_MS)


def _gaps_within(lifetime: InstanceLifetime) -> list[Gap]:
    spans = lifetime.spans()
    gaps = [
        Gap(lifetime.instance, before.to_ms, after.from_ms, REASON_MISSING_MINUTES)
        for before, after in pairwise(spans)
    ]
    if spans and spans[0].from_ms > lifetime.started_ms:
        gaps.append(
            Gap(lifetime.instance, lifetime.started_ms, spans[0].from_ms, REASON_MISSING_START)
        )
    return gaps


def _gap_after(
    lifetime: InstanceLifetime, following: InstanceLifetime | None, window: PageWindow
) -> list[Gap]:
    if lifetime.has_clean_shutdown():
        return []
    if following is not None:
        end = max(lifetime.end_ms(), following.started_ms)
        return [Gap(lifetime.instance, lifetime.end_ms(), end, REASON_CRASH)]
    if is_still_running(lifetime, following, window):
        return []
    return [Gap(lifetime.instance, lifetime.end_ms(), window.data_end_ms(), REASON_NO_SUMMARIES)]


def _clip(gap: Gap, window: PageWindow) -> Gap | None:
    """Return the part of a gap within the window; an empty gap inside the window is kept."""
    data_end_ms = window.data_end_ms()
    if gap.from_ms >= data_end_ms or gap.to_ms < window.from_ms:
        return None
    if gap.to_ms == window.from_ms and gap.from_ms < window.from_ms:
        return None
    return Gap(
        gap.instance, max(gap.from_ms, window.from_ms), min(gap.to_ms, data_end_ms), gap.reason
    )


def clip_span(span: Span, window: PageWindow) -> Span | None:
    """Return the part of a span within the window, or `None`."""
    from_ms = max(span.from_ms, window.from_ms)
    to_ms = min(span.to_ms, window.to_ms)
    return Span(from_ms, to_ms) if from_ms < to_ms else None

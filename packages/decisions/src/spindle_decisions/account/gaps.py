"""Finding of what is missing from a day."""

from itertools import pairwise

from spindle_decisions.account.gap import Gap
from spindle_decisions.account.page_window import SETTLE_MS, PageWindow
from spindle_decisions.account.run import Run
from spindle_decisions.account.span import Span

REASON_BETWEEN = "no summary came, or the process did not run"
REASON_START = "the run had begun, and no summary came"
REASON_CRASH = "ended without a planned stop"
REASON_SILENT = "not heard of since, and had not said that it stops"


def find_gaps(runs: list[Run], window: PageWindow) -> tuple[Gap, ...]:
    """Return the gaps of all instances within the window.

    An instance owes its counts from the start of each run to its planned stop.
    A run that ends otherwise leaves a gap up to the start of the next run of
    the same instance; without a next one, up to the end of what the page can
    know, because an instance that is cut off may be serving.
    """
    gaps: list[Gap] = []
    for index, run in enumerate(runs):
        following = run_after(runs, index)
        gaps.extend(_gaps_within(run))
        gaps.extend(_gap_after(run, following, window))
    clipped = (_clip(gap, window) for gap in gaps)
    return tuple(sorted(gap for gap in clipped if gap is not None))


def run_after(runs: list[Run], index: int) -> Run | None:
    """Return the next run of the same instance, or `None`."""
    if index + 1 == len(runs) or runs[index + 1].instance != runs[index].instance:
        return None
    return runs[index + 1]


def is_live_at(run: Run, following: Run | None, window: PageWindow) -> bool:
    """Tell whether a run went on at the end of what the page can know."""
    if run.ended_as_planned() or following is not None:
        return False
    return run.end_ms() >= min(window.to_ms, window.asked_ms - SETTLE_MS)


def _gaps_within(run: Run) -> list[Gap]:
    spans = run.spans()
    gaps = [
        Gap(run.instance, before.to_ms, after.from_ms, REASON_BETWEEN)
        for before, after in pairwise(spans)
    ]
    if spans and spans[0].from_ms > run.started_ms:
        gaps.append(Gap(run.instance, run.started_ms, spans[0].from_ms, REASON_START))
    return gaps


def _gap_after(run: Run, following: Run | None, window: PageWindow) -> list[Gap]:
    if run.ended_as_planned():
        return []
    if following is not None:
        end = max(run.end_ms(), following.started_ms)
        return [Gap(run.instance, run.end_ms(), end, REASON_CRASH)]
    if is_live_at(run, following, window):
        return []
    return [Gap(run.instance, run.end_ms(), window.horizon_ms(), REASON_SILENT)]


def _clip(gap: Gap, window: PageWindow) -> Gap | None:
    """Return the part of a gap within the window; one of no length stays if it lies in it."""
    horizon = window.horizon_ms()
    if gap.from_ms >= horizon or gap.to_ms < window.from_ms:
        return None
    if gap.to_ms == window.from_ms and gap.from_ms < window.from_ms:
        return None
    return Gap(gap.instance, max(gap.from_ms, window.from_ms), min(gap.to_ms, horizon), gap.reason)


def clip_span(span: Span, window: PageWindow) -> Span | None:
    """Return the part of a span within the window, or `None`."""
    from_ms = max(span.from_ms, window.from_ms)
    to_ms = min(span.to_ms, window.to_ms)
    return Span(from_ms, to_ms) if from_ms < to_ms else None

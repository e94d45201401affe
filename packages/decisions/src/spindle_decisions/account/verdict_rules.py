"""Evaluation of a group's day against its target."""

import math

from spindle_decisions.account.group_totals import GroupTotals
from spindle_decisions.account.percentages import PER_CENT, percent_down
from spindle_decisions.account.verdict import Verdict
from spindle_decisions.util.units import MS_PER_S

GOOD_SHARE_PER_CENT = 99


def evaluate_verdict(totals: GroupTotals, complete: bool, over: bool) -> Verdict:
    """Return the verdict by the ratio of complete answers within the target to all requests.

    Every other outcome counts against the day: late and partial answers, refusals
    of any code, unknown outcomes, callers that disconnected and lost requests. A
    good day with missing counts is `INCOMPLETE`; before the day is `over` the
    best verdict is `GOOD_SO_FAR`.
    """
    total = totals.total()
    if totals.counts["answered"] * PER_CENT < total * GOOD_SHARE_PER_CENT:
        return Verdict.MISSED
    if not complete:
        return Verdict.INCOMPLETE
    if not total:
        return Verdict.NO_QUERIES
    return Verdict.GOOD if over else Verdict.GOOD_SO_FAR


def verdict_line(
    totals: GroupTotals, verdict: Verdict, gaps: int, problems: int, uncounted_ms: int
) -> str:
    """Format the verdict and the caveats that a reader must not overlook as one line."""
    parts = [f"{verdict.upper()}: {_good_ratio_line(totals)}"]
    if totals.counts["outcome_unknown"]:
        parts.append(f"{totals.counts['outcome_unknown']:,} with unknown outcome")
    if totals.lost:
        parts.append(f"{totals.lost:,} arrived and their end is not known")
    if uncounted_ms:
        parts.append(f"up to {math.ceil(uncounted_ms / MS_PER_S)} s are not counted yet")
    if gaps:
        parts.append(f"{gaps} {_plural('gap', gaps)} in the counts")
    if problems:
        parts.append(f"{problems} {_plural('source', problems)} missing or faulty")
    return "; ".join(parts)


def _good_ratio_line(totals: GroupTotals) -> str:
    total = totals.total()
    if not total:
        return "no request ended"
    requests = f"{total:,} {_plural('request', total)}"
    target = target_text(totals.target_min_ms, totals.target_max_ms)
    return (
        f"{percent_down(totals.counts['answered'], total)} of {requests} had the whole answer "
        f"within {target} (wanted: {GOOD_SHARE_PER_CENT}%)"
    )


def target_text(min_ms: int, max_ms: int) -> str:
    """Format the target of a group, as a range if it changed during the day."""
    if not max_ms:
        return "an unknown target"
    if min_ms == max_ms:
        return f"{max_ms} ms"
    return f"{min_ms} to {max_ms} ms"


def _plural(word: str, count: int) -> str:
    return word if count == 1 else f"{word}s"

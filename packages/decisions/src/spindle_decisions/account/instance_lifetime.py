"""One incarnation of an entry instance and its summaries."""

import dataclasses

from spindle_decisions.account.minute_summary import MinuteSummary
from spindle_decisions.account.span import Span


@dataclasses.dataclass(frozen=True)
class InstanceLifetime:
    """The summaries of one incarnation of an instance, ordered by minute; never empty."""

    instance: str
    incarnation: int
    data_center: str
    started_ms: int
    summaries: tuple[MinuteSummary, ...]

    def spans(self) -> tuple[Span, ...]:
        """Return the time spans with counts in order; adjacent spans are merged."""
        joined: list[Span] = []
        for summary in self.summaries:
            for span in summary.spans:
                if joined and span.from_ms <= joined[-1].to_ms:
                    end = max(joined[-1].to_ms, span.to_ms)
                    joined[-1] = Span(joined[-1].from_ms, end)
                else:
                    joined.append(span)
        return tuple(joined)

    def end_ms(self) -> int:
        """Return the end of the last span, or the start time if there is none."""
        spans = self.spans()
        return spans[-1].to_ms if spans else self.started_ms

    def has_clean_shutdown(self) -> bool:
        """Return whether the instance delivered its last summary at a graceful shutdown."""
        return self.summaries[-1].last


def build_lifetimes(summaries: list[MinuteSummary]) -> list[InstanceLifetime]:
    """Group summaries by incarnation, sorted by instance and start time."""
    by_incarnation: dict[tuple[str, int], list[MinuteSummary]] = {}
    for summary in summaries:
        by_incarnation.setdefault((summary.instance, summary.incarnation), []).append(summary)
    lifetimes = [_build_lifetime(items) for items in by_incarnation.values()]
    return sorted(
        lifetimes,
        key=lambda lifetime: (lifetime.instance, lifetime.started_ms, lifetime.incarnation),
    )


def _build_lifetime(items: list[MinuteSummary]) -> InstanceLifetime:
    items.sort(key=lambda summary: summary.minute)
    first = items[0]
    return InstanceLifetime(
        first.instance, first.incarnation, first.data_center, first.started_ms, tuple(items)
    )

"""One run of an entry instance as its summaries show it."""

import dataclasses

from spindle_decisions.account.minute_summary import MinuteSummary
from spindle_decisions.account.span import Span


@dataclasses.dataclass(frozen=True)
class InstanceLifetime:
    """The summaries of one incarnation in the order of their minutes; never empty."""

    instance: str
    incarnation: int
    data_center: str
    started_ms: int
    summaries: tuple[MinuteSummary, ...]

    def spans(self) -> tuple[Span, ...]:
        """Return the counted stretches in order, joined where they touch."""
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
        """Return the end of the last counted stretch."""
        spans = self.spans()
        return spans[-1].to_ms if spans else self.started_ms

    def has_clean_shutdown(self) -> bool:
        """Tell whether the run handed everything over when it stopped."""
        return self.summaries[-1].last


def build_lifetimes(summaries: list[MinuteSummary]) -> list[InstanceLifetime]:
    """Sort summaries into runs, by instance and time of start."""
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

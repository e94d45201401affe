"""Requests that crash the upstreams that run them."""

import msgspec
import xxhash

from spindle_decisions.quarantine import const
from spindle_decisions.quarantine.quarantine_entry import QuarantineEntry
from spindle_decisions.quarantine.verdict import Verdict
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.request_breaks import RequestBreaks


class RequestQuarantine:
    """Decides by fingerprint whether a request runs, is tried at one upstream, or is refused.

    A request is suspected once its attempts broke `SUSPECT_BREAKS` connections and none was
    answered: a crash also breaks the attempts of innocent requests at that upstream, so it
    then runs at one upstream at a time. An answer clears it. Once it was part of
    `BLOCK_CRASHES` crashes, each time sent after the one before, it is blocked. What one
    instance finds out is merged into the quarantine of all. Example:

        quarantine.record_break(fingerprint, "id-1", "upstream-1", sent_at, now)
        if quarantine.verdict(fingerprint, now) is Verdict.BLOCKED: ...
    """

    def __init__(self) -> None:
        # The entry with the latest news is last.
        self.entries: dict[str, QuarantineEntry] = {}

    def verdict(self, fingerprint: str, now: float) -> Verdict:
        """Return what may be done with a request."""
        entry = self.entries.get(fingerprint)
        if entry is None or not entry.is_suspect() or self._is_expired(entry, now):
            return Verdict.NORMAL
        if entry.is_blocked() and now - entry.broken_at < const.BLOCK_S:
            return Verdict.BLOCKED
        return Verdict.TRIAL

    def broken_at(self, fingerprint: str) -> float:
        """Return when a request last broke a connection, in the clock of this instance."""
        entry = self.entries.get(fingerprint)
        return 0.0 if entry is None else entry.broken_at

    def blocked_for_s(self, fingerprint: str, now: float) -> float:
        """Return the seconds until a blocked request may be tried again."""
        entry = self.entries.get(fingerprint)
        return 0.0 if entry is None else max(0.0, entry.broken_at + const.BLOCK_S - now)

    def record_break(
        self, fingerprint: str, request_id: str, upstream_id: str, sent_at: float, broken_at: float
    ) -> bool:
        """Record that an attempt broke its connection; return whether that is news."""
        entry = self.entries.pop(fingerprint, None)
        if entry is None or self._is_expired(entry, broken_at):
            entry = QuarantineEntry(broken_at)
        self.entries[fingerprint] = entry
        if len(self.entries) > const.MAX_ENTRIES:
            self._evict()
        return entry.add(
            request_id[: const.MAX_ID_CHARS],
            upstream_id[: const.MAX_ID_CHARS],
            min(sent_at, broken_at),
            broken_at,
        )

    def clear(self, fingerprint: str) -> bool:
        """Forget a request that was answered; return whether it was suspected."""
        entry = self.entries.pop(fingerprint, None)
        return entry is not None and entry.is_suspect()

    def merge(self, item: RequestBreaks, now: float) -> bool:
        """Merge what another instance knows; return whether that is news."""
        if item.cleared:
            return self.clear(item.fingerprint)
        changed = False
        # An instance of a build without spans reports the age of the last break only.
        spans = item.spans_ms or ((item.age_ms, item.age_ms),) * len(item.breaks)
        for (request_id, upstream_id), span_ms in zip(item.breaks, spans, strict=False):
            sent_at, broken_at = (now - max(0, age_ms) / MS_PER_S for age_ms in span_ms)
            changed |= self.record_break(
                item.fingerprint, request_id, upstream_id, sent_at, broken_at
            )
        return changed

    def breaks_of(self, fingerprint: str, now: float) -> RequestBreaks:
        """Return what is known of a request, for other instances."""
        entry = self.entries.get(fingerprint)
        if entry is None:
            return RequestBreaks(fingerprint, (), 0, cleared=True)
        spans_ms = tuple(
            (_age_ms(crash.sent_at, now), _age_ms(crash.broken_at, now))
            for crash in entry.crashes
            for _ in crash.upstreams
        )
        return RequestBreaks(
            fingerprint, entry.pairs(), _age_ms(entry.broken_at, now), spans_ms=spans_ms
        )

    def suspects(self, now: float) -> tuple[str, ...]:
        """Return the fingerprints of the suspected requests with the latest news.

        There are at most `MAX_SENT_ENTRIES` of them.
        """
        names = [
            name
            for name, entry in self.entries.items()
            if entry.is_suspect() and not self._is_expired(entry, now)
        ]
        return tuple(names[-const.MAX_SENT_ENTRIES :])

    def digest(self, now: float) -> str:
        """Return a digest of the suspected requests, empty without any."""
        names = self.suspects(now)
        if not names:
            return ""
        # Of one crash, instances may have kept different requests.
        content = sorted((name, len(self.entries[name].crashes)) for name in names)
        return xxhash.xxh3_64_hexdigest(msgspec.msgpack.encode(content))

    def news_for(self, digest: str, now: float) -> tuple[RequestBreaks, ...]:
        """Return the suspected requests for an instance that has others, by its digest."""
        if digest == self.digest(now):
            return ()
        return tuple(self.breaks_of(name, now) for name in self.suspects(now))

    def expire(self, now: float) -> None:
        """Forget the requests whose suspicion has ended with time."""
        self.entries = {
            name: entry for name, entry in self.entries.items() if not self._is_expired(entry, now)
        }

    def _is_expired(self, entry: QuarantineEntry, now: float) -> bool:
        return not entry.is_blocked() and now - entry.broken_at > const.SUSPECT_TTL_S

    def _evict(self) -> None:
        """Forget the oldest entry that is not blocked, or the oldest of all."""
        names = (name for name, entry in self.entries.items() if not entry.is_blocked())
        del self.entries[next(names, next(iter(self.entries)))]


def _age_ms(at: float, now: float) -> int:
    return int(max(0.0, now - at) * MS_PER_S)

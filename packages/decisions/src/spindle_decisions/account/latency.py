"""Mergeable latency histograms."""

from hdrh.histogram import HdrHistogram

MIN_US = 1
MAX_US = 600_000_000
SIGNIFICANT_DIGITS = 2


def new_histogram() -> HdrHistogram:
    """Create a histogram for 1 µs to 10 minutes with a relative error of at most 1%."""
    return HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS, b64_wrap=False)


def record_latency(histogram: HdrHistogram, latency_us: int) -> None:
    """Record a latency; a value outside the range is clamped to it, not dropped."""
    histogram.record_value(min(max(latency_us, MIN_US), MAX_US))


def encode_histogram(histogram: HdrHistogram | None) -> bytes:
    """Encode a histogram; `None` or one without values encodes to empty bytes."""
    if histogram is None or histogram.get_total_count() == 0:
        return b""
    encoded: bytes = histogram.encode()
    return encoded


def merge_encoded(histogram: HdrHistogram, data: bytes) -> None:
    """Add an encoded histogram to `histogram`; empty bytes add nothing."""
    if data:
        histogram.add(HdrHistogram.decode(data, b64_wrap=False))


def value_at_rank(histogram: HdrHistogram, rank: int) -> int | None:
    """Return the latency in µs at a rank counted from 1, or `None` beyond the last value.

    The result is the upper bound of its bucket, so it is never below the exact value.
    """
    if rank > histogram.get_total_count():
        return None
    seen = 0
    for index in range(histogram.counts_len):
        seen += histogram.get_count_at_index(index)
        if seen >= rank:
            value: int = histogram.get_highest_equivalent_value(
                histogram.get_value_from_index(index)
            )
            return value
    return None

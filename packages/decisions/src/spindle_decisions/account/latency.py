"""Mergeable histograms of latency."""

from hdrh.histogram import HdrHistogram

MIN_US = 1
MAX_US = 600_000_000
SIGNIFICANT_DIGITS = 2


def new_histogram() -> HdrHistogram:
    """Create a histogram of 1 µs to 10 minutes with an error of at most 1%."""
    return HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS, b64_wrap=False)


def record_latency(histogram: HdrHistogram, latency_us: int) -> None:
    """Count a latency; one outside the range counts at the nearer end, never not at all."""
    histogram.record_value(min(max(latency_us, MIN_US), MAX_US))


def encode_histogram(histogram: HdrHistogram | None) -> bytes:
    """Encode a histogram; one without values is empty."""
    if histogram is None or histogram.get_total_count() == 0:
        return b""
    encoded: bytes = histogram.encode()
    return encoded


def merge_encoded(histogram: HdrHistogram, data: bytes) -> None:
    """Add an encoded histogram to another one."""
    if data:
        histogram.add(HdrHistogram.decode(data, b64_wrap=False))


def value_at_rank(histogram: HdrHistogram, rank: int) -> int | None:
    """Return the latency in microseconds at a rank from 1, or `None` beyond the last value.

    The result is the upper end of its bucket, so it is never below the truth.
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

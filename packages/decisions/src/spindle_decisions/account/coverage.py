"""Coverage buckets of answers."""

COVERAGE_BOUNDS = (0.5, 0.8, 0.9, 0.95, 0.99, 1.0)
COVERAGE_LABELS = (
    "none",
    "under 50%",
    "50% to 80%",
    "80% to 90%",
    "90% to 95%",
    "95% to 99%",
    "99% to 100%",
    "all",
)
NONE_BUCKET = 0
ALL_BUCKET = len(COVERAGE_LABELS) - 1


def coverage_bucket(delivered: int, asked: int) -> int:
    """Return the bucket index of an answer that covers `delivered` of `asked` services.

    Buckets include their lower bound. Only an answer with every service is in
    the last bucket: 1,299 of 1,300 services are not "all".
    """
    if delivered <= 0:
        return NONE_BUCKET
    if delivered >= asked:
        return ALL_BUCKET
    ratio = delivered / asked
    for bucket, bound in enumerate(COVERAGE_BOUNDS, start=1):
        if ratio < bound:
            return bucket
    return ALL_BUCKET - 1

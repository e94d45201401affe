"""Settings of the serving policy."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ServingSettings:
    """The serving policy, and switches that disable single mechanisms in experiments.

    `policy` is `tier`, or `naive`: one random replica, no hedge, no limit.
    """

    policy: str
    hedging: bool
    retries: bool
    limits: bool
    ejection: bool
    shares: bool
    snapshot_pinning: bool
    claims: bool

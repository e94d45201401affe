"""Bus event: the list of live instances changed."""

import dataclasses

from spindle_decisions.wire.live_instance import LiveInstance


@dataclasses.dataclass(frozen=True)
class LiveInstancesChanged:
    """Fired with the live instances that a control instance last reported."""

    live: tuple[LiveInstance, ...]

"""The bus event of a changed membership."""

import dataclasses

from spindle_decisions.wire.live_instance import LiveInstance


@dataclasses.dataclass(frozen=True)
class LiveInstancesChanged:
    """The instances believed to live, as last told by a control instance."""

    live: tuple[LiveInstance, ...]

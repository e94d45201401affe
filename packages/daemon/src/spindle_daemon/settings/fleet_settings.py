"""Settings of the fleet."""

import dataclasses

from spindle_daemon.settings.endpoint import Endpoint


@dataclasses.dataclass(frozen=True)
class FleetSettings:
    """How a process finds the others, and whether it may bootstrap the deployment.

    `seeds` are mesh addresses of control instances. `founding` is true only at the
    first start of the whole deployment. `upstream_list` is the endpoint at which the
    platform serves its list of upstreams.
    """

    seeds: tuple[str, ...]
    founding: bool
    upstream_list: Endpoint

"""All kinds of faults and their injection."""

import gevent

from tests.soak.callers import SoakCallers
from tests.soak.disturbance_log import DisturbanceLog
from tests.soak.fault import Fault
from tests.soak.fault_generator import FaultKind
from tests.soak.host_monitor import HostMonitor
from tests.soak.in_process_faults import InProcessFaults
from tests.soak.ledger import CheckResults
from tests.soak.link_faults import LinkFaults
from tests.soak.process_faults import ProcessFaults
from tests.soak.process_monitor import ProcessMonitor
from tests.soak.soak_environment import SoakEnvironment
from tests.soak.upstream_faults import UpstreamFaults


class Faults:
    """Injects scheduled faults into the environment."""

    def __init__(
        self,
        environment: SoakEnvironment,
        results: CheckResults,
        disturbances: DisturbanceLog,
        process_monitor: ProcessMonitor,
        host_monitor: HostMonitor,
        callers: SoakCallers,
    ) -> None:
        self.results = results
        self.disturbances = disturbances
        self.kinds: dict[str, FaultKind] = {
            **ProcessFaults(environment, results, process_monitor, host_monitor).kinds(),
            **InProcessFaults(environment, process_monitor).kinds(),
            **LinkFaults(environment).kinds(),
            **UpstreamFaults(environment, callers).kinds(),
        }

    def targets(self) -> dict[str, tuple[str, ...]]:
        """Return the possible targets of each kind of fault."""
        return {kind: targets for kind, (targets, _) in self.kinds.items()}

    def inject(self, fault: Fault) -> None:
        """Wait for the start of a fault, begin it, and end it after its duration."""
        gevent.sleep(fault.start_s)
        self.results.record_fault(fault.kind, f"{fault.target} for {fault.duration_s:.1f} s")
        self.disturbances.begin()
        try:
            generator = self.kinds[fault.kind][1](fault.target)
            next(generator)
            gevent.sleep(fault.duration_s)
            next(generator, None)
        finally:
            self.disturbances.end()

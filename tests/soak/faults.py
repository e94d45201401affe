"""All kinds of faults, and the playing of drawn ones."""

import gevent

from tests.soak.callers import Callers
from tests.soak.fault import Fault
from tests.soak.ledger import Ledger
from tests.soak.link_faults import LinkFaults
from tests.soak.machine_watch import MachineWatch
from tests.soak.process_faults import ProcessFaults
from tests.soak.process_watch import ProcessWatch
from tests.soak.quiet import Quiet
from tests.soak.span import Kind
from tests.soak.stage import Stage
from tests.soak.upstream_faults import UpstreamFaults
from tests.soak.warp_faults import WarpFaults


class Faults:
    """Plays drawn faults against the stage."""

    def __init__(
        self,
        stage: Stage,
        ledger: Ledger,
        quiet: Quiet,
        watch: ProcessWatch,
        machine: MachineWatch,
        callers: Callers,
    ) -> None:
        self.ledger = ledger
        self.quiet = quiet
        self.kinds: dict[str, Kind] = {
            **ProcessFaults(stage, ledger, watch, machine).kinds(),
            **WarpFaults(stage, watch).kinds(),
            **LinkFaults(stage).kinds(),
            **UpstreamFaults(stage, callers).kinds(),
        }

    def targets(self) -> dict[str, tuple[str, ...]]:
        """Return what each kind may hit."""
        return {kind: targets for kind, (targets, _) in self.kinds.items()}

    def play(self, fault: Fault) -> None:
        """Begin a fault, hold it and end it."""
        gevent.sleep(fault.at_s)
        self.ledger.fault(fault.kind, f"{fault.target} for {fault.for_s:.1f} s")
        self.quiet.begin()
        try:
            span = self.kinds[fault.kind][1](fault.target)
            next(span)
            gevent.sleep(fault.for_s)
            next(span, None)
        finally:
            self.quiet.end()

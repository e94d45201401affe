"""Replacement and reading of the replicated plan."""

import logging
import zlib

import gevent

from spindle_daemon.components.control.raft_driver import RaftDriver
from spindle_daemon.core.platform_adapter import PlanCodec
from spindle_daemon.core.spindle import Spindle
from spindle_decisions.commands.plan_replaced import PlanReplaced
from spindle_decisions.commands.read_plan import ReadPlan
from spindle_decisions.commands.replace_plan import ReplacePlan
from spindle_decisions.exceptions import ControlError, NoQuorumError
from spindle_decisions.routing.plan_validation import validate_plan

_LOGGER = logging.getLogger(__name__)

# Less than the second after which operators try another instance.
COMMIT_TIMEOUT_S = 0.9
APPLY_POLL_INTERVAL_S = 0.005
# zlib level for plan documents.
COMPRESSION_LEVEL = 6


class PlanManager:
    """Commits plans through the control quorum, and reads the newest committed plan."""

    def __init__(self, spindle: Spindle, plan_codec: PlanCodec, driver: RaftDriver) -> None:
        self.spindle = spindle
        self.plan_codec = plan_codec
        self.driver = driver

    def replace(self, document: bytes) -> PlanReplaced:
        """Commit a plan; return the version that is then in force.

        Raises `PlanError` for an invalid plan, and `ControlError` if it was not
        committed in time; it may still be committed later.
        """
        plan = self.plan_codec.decode(document)
        validate_plan(plan)
        data = zlib.compress(document, COMPRESSION_LEVEL)
        result = self._commit(ReplacePlan(plan.version, data))
        _LOGGER.info(
            "plans: version %s acknowledged",
            plan.version,
            extra={
                "event": "plan-acknowledged",
                "version": plan.version,
                "in_force": result.version,
                "changed": result.changed,
            },
        )
        return result

    def read(self) -> bytes:
        """Return the newest plan as the operator sent it.

        Raises `ControlError` if no quorum confirms in time which plan is the newest.
        """
        started = self.spindle.clock.now()
        result = self._commit(ReadPlan())
        while self.driver.state.plan.version < result.version:
            if self.spindle.clock.now() - started > COMMIT_TIMEOUT_S:
                raise NoQuorumError(
                    f"this instance has not applied plan version {result.version} yet"
                )
            gevent.sleep(APPLY_POLL_INTERVAL_S)
        plan = self.driver.state.plan
        if not plan.version:
            raise NoQuorumError("no plan has been committed yet")
        return zlib.decompress(plan.document)

    def _commit(self, command: ReplacePlan | ReadPlan) -> PlanReplaced:
        reply = self.spindle.control.propose(command, COMMIT_TIMEOUT_S)
        if not isinstance(reply.result, PlanReplaced):
            raise ControlError("the command returned no plan version")
        return reply.result

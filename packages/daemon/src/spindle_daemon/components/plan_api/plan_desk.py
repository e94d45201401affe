"""Replacing and reading the agreed plan."""

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

# Operators go on to another instance after a second without an answer.
AGREE_TIMEOUT_S = 0.9
APPLY_POLL_S = 0.005
COMPRESSION_LEVEL = 6


class PlanDesk:
    """Has plans agreed, and reads only what is surely the newest."""

    def __init__(self, spindle: Spindle, plans: PlanCodec, driver: RaftDriver) -> None:
        self.spindle = spindle
        self.plans = plans
        self.driver = driver

    def replace(self, document: bytes) -> PlanReplaced:
        """Have a plan agreed; return which version is in force then.

        Raises `PlanError` for a plan that cannot be in force, `ControlError` when it
        was not agreed in time; it may then be agreed later.
        """
        plan = self.plans.decode(document)
        validate_plan(plan)
        data = zlib.compress(document, COMPRESSION_LEVEL)
        result = self._agree(ReplacePlan(plan.version, data))
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
        """Return the newest plan as it was sent; raises `ControlError` when that is not sure."""
        started = self.spindle.clock.now()
        result = self._agree(ReadPlan())
        while self.driver.state.plan.version < result.version:
            if self.spindle.clock.now() - started > AGREE_TIMEOUT_S:
                raise NoQuorumError("this instance is behind")
            gevent.sleep(APPLY_POLL_S)
        plan = self.driver.state.plan
        if not plan.version:
            raise NoQuorumError("there is no plan yet")
        return zlib.decompress(plan.document)

    def _agree(self, command: ReplacePlan | ReadPlan) -> PlanReplaced:
        reply = self.spindle.control.propose(command, AGREE_TIMEOUT_S)
        if not isinstance(reply.result, PlanReplaced):
            raise ControlError("the command had no result")
        return reply.result

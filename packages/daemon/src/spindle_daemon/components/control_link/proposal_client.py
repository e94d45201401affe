"""The client side of proposals to the replicated log."""

import logging
import uuid
from collections.abc import Callable

import gevent
from gevent.event import AsyncResult

from spindle_daemon.components.control_link.const import PROPOSE_RETRY_S, PROPOSE_TRY_S
from spindle_daemon.core.clock import Clock
from spindle_daemon.mesh.transport import Transport
from spindle_decisions.commands.command import Command, encode_command
from spindle_decisions.exceptions import NotRunError, OutcomeUnknownError
from spindle_decisions.wire.propose import Propose
from spindle_decisions.wire.propose_reply import ProposeReply

_LOGGER = logging.getLogger(__name__)

TargetChooser = Callable[[int], str]


class ProposalClient:
    """Sends commands to a control instance until one answers or time is up.

    Every command is idempotent in the replicated log, so a try that got no
    answer is repeated at another control instance. The answer is remembered as
    uncertain as soon as one try went out without being declined.
    """

    def __init__(
        self, clock: Clock, transport: Transport, advertise: str, target: TargetChooser
    ) -> None:
        self.clock = clock
        self.transport = transport
        self.advertise = advertise
        self.target = target
        self.waiting: dict[str, AsyncResult] = {}
        transport.handle(ProposeReply, self._handle_reply)

    def propose(self, command: Command, timeout_s: float) -> ProposeReply:
        """Have a command agreed; see `ControlClient.propose`."""
        deadline = self.clock.now() + timeout_s
        data = encode_command(command)
        uncertain = False
        attempt = 0
        while (left := deadline - self.clock.now()) > 0:
            reply = self._try(self.target(attempt), data, min(left, PROPOSE_TRY_S))
            attempt += 1
            if reply is not None and not reply.code:
                return reply
            uncertain = uncertain or reply is None or reply.appended
            if reply is not None:
                gevent.sleep(min(PROPOSE_RETRY_S, max(0.0, deadline - self.clock.now())))
        if uncertain:
            raise OutcomeUnknownError("no control instance confirmed the command in time")
        raise NotRunError("no control instance could take the command")

    def _try(self, address: str, data: bytes, timeout_s: float) -> ProposeReply | None:
        seq = uuid.uuid4().hex
        result: AsyncResult = AsyncResult()
        self.waiting[seq] = result
        try:
            if not self.transport.send(
                address, Propose(self.transport.name, self.advertise, seq, data)
            ):
                return ProposeReply(seq, code="not-sent")
            reply: ProposeReply | None = result.get(timeout=timeout_s)
        except gevent.Timeout:
            return None
        finally:
            del self.waiting[seq]
        return reply

    def _handle_reply(self, _sender: str, reply: ProposeReply) -> None:
        result = self.waiting.get(reply.seq)
        if result is not None:
            result.set(reply)

"""The client side of proposals to the replicated log."""

import logging
import uuid
from collections.abc import Callable

import gevent
from gevent.event import AsyncResult

from spindle_daemon.components.control_link.const import (
    PROPOSE_ATTEMPT_TIMEOUT_S,
    PROPOSE_RETRY_DELAY_S,
)
from spindle_daemon.core.clock import Clock
from spindle_daemon.mesh.transport import MeshTransport
from spindle_decisions.commands.command import Command, encode_command
from spindle_decisions.exceptions import NotRunError, OutcomeUnknownError
from spindle_decisions.wire.propose import Propose
from spindle_decisions.wire.propose_reply import ProposeReply

_LOGGER = logging.getLogger(__name__)

TargetChooser = Callable[[int], str]


class ProposalClient:
    """Sends a command to the control instances until one answers or the time is up.

    Every command is idempotent in the replicated log, so an attempt without an
    answer is retried at another control instance. The outcome counts as unknown
    once an attempt got no answer or a reply said that the command was appended.
    """

    def __init__(
        self, clock: Clock, transport: MeshTransport, advertise: str, target: TargetChooser
    ) -> None:
        self.clock = clock
        self.transport = transport
        self.advertise = advertise
        self.target = target
        self.waiting: dict[str, AsyncResult] = {}
        transport.register_handler(ProposeReply, self._handle_reply)

    def propose(self, command: Command, timeout_s: float) -> ProposeReply:
        """Propose a command to the replicated log; see `ControlClient.propose`."""
        deadline = self.clock.now() + timeout_s
        data = encode_command(command)
        is_uncertain = False
        attempt = 0
        while (remaining_s := deadline - self.clock.now()) > 0:
            reply = self._attempt(
                self.target(attempt), data, min(remaining_s, PROPOSE_ATTEMPT_TIMEOUT_S)
            )
            attempt += 1
            if reply is not None and not reply.code:
                return reply
            is_uncertain = is_uncertain or reply is None or reply.appended
            if reply is not None:
                gevent.sleep(min(PROPOSE_RETRY_DELAY_S, max(0.0, deadline - self.clock.now())))
        if is_uncertain:
            raise OutcomeUnknownError(
                f"no control instance confirmed the command within {timeout_s} s"
            )
        raise NotRunError(f"no control instance accepted the command within {timeout_s} s")

    def _attempt(self, address: str, data: bytes, timeout_s: float) -> ProposeReply | None:
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

"""The server side of proposals to the replicated log."""

import logging
from collections.abc import Callable

import msgspec

from spindle_daemon.components.control.const import MAX_HOPS, MAX_PENDING_PROPOSALS
from spindle_daemon.components.control.raft_driver import RaftDriver
from spindle_daemon.core.clock import Clock
from spindle_daemon.mesh.transport import MeshTransport
from spindle_decisions.commands.command import Result, decode_command, encode_command
from spindle_decisions.exceptions import NotLeaderError
from spindle_decisions.wire.propose import Propose
from spindle_decisions.wire.propose_reply import ProposeReply

_LOGGER = logging.getLogger(__name__)

CODE_NOT_LEADER = "not-leader"
CODE_OVERLOADED = "overloaded"
CODE_LOST = "lost"


class ProposalHandler:
    """Appends commands if this instance is the leader, else forwards them to the leader."""

    def __init__(
        self,
        clock: Clock,
        transport: MeshTransport,
        driver: RaftDriver,
        address_of: Callable[[str], str | None],
    ) -> None:
        self.clock = clock
        self.transport = transport
        self.driver = driver
        self.address_of = address_of
        transport.register_handler(Propose, self.handle_propose)

    def handle_propose(self, _sender: str, propose: Propose) -> None:
        """Append, forward or decline a command, and send the reply."""
        if len(self.driver.pending_proposals) >= MAX_PENDING_PROPOSALS:
            self._decline(propose, CODE_OVERLOADED)
            return
        try:
            self.driver.propose(
                self._with_timestamp(propose.command), lambda result: self._answer(propose, result)
            )
        except NotLeaderError as err:
            self._forward(propose, err.leader)
        except msgspec.MsgspecError as err:
            self._decline(propose, "bad-request", str(err))

    def _with_timestamp(self, data: bytes) -> bytes:
        command = decode_command(data)
        stamped = msgspec.structs.replace(command, proposed_at_ms=self.clock.wall_ms())
        return encode_command(stamped)

    def _answer(self, propose: Propose, result: Result | None) -> None:
        if result is None:
            reply = ProposeReply(
                propose.seq, CODE_LOST, "another entry replaced it in the log", True
            )
        else:
            reply = ProposeReply(propose.seq, result=result)
        self.transport.send(propose.reply_to, reply)

    def _forward(self, propose: Propose, leader: str | None) -> None:
        address = self.address_of(leader) if leader else None
        if address is None or leader == self.transport.name or propose.hops >= MAX_HOPS:
            self._decline(propose, CODE_NOT_LEADER)
            return
        forwarded = msgspec.structs.replace(propose, hops=propose.hops + 1)
        if not self.transport.send(address, forwarded):
            self._decline(propose, CODE_NOT_LEADER)

    def _decline(self, propose: Propose, code: str, text: str = "") -> None:
        self.transport.send(propose.reply_to, ProposeReply(propose.seq, code, text))

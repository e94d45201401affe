"""The union of all messages between processes."""

from spindle_decisions.wire.config_chunk import ConfigChunk
from spindle_decisions.wire.config_delta import ConfigDelta
from spindle_decisions.wire.config_notice import ConfigNotice
from spindle_decisions.wire.control_beat import ControlBeat
from spindle_decisions.wire.control_status import ControlStatus
from spindle_decisions.wire.entry_beat import EntryBeat
from spindle_decisions.wire.fetch_config import FetchConfig
from spindle_decisions.wire.fleet_hello import FleetHello
from spindle_decisions.wire.frame_receipt import FrameReceipt
from spindle_decisions.wire.heartbeat import Heartbeat
from spindle_decisions.wire.heartbeat_ack import HeartbeatAck
from spindle_decisions.wire.leave import Leave
from spindle_decisions.wire.list_push import ListPush
from spindle_decisions.wire.owner_suspicion import OwnerSuspicion
from spindle_decisions.wire.plan_push import PlanPush
from spindle_decisions.wire.propose import Propose
from spindle_decisions.wire.propose_reply import ProposeReply
from spindle_decisions.wire.quarantine_update import QuarantineUpdate
from spindle_decisions.wire.raft_packet import RaftPacket
from spindle_decisions.wire.spread_cancel import SpreadCancel
from spindle_decisions.wire.spread_question import SpreadQuestion
from spindle_decisions.wire.spread_reply import SpreadReply
from spindle_decisions.wire.status_wanted import StatusWanted
from spindle_decisions.wire.summary_ack import SummaryAck
from spindle_decisions.wire.summary_report import SummaryReport

Message = (
    ConfigChunk
    | PlanPush
    | ListPush
    | FleetHello
    | EntryBeat
    | ControlBeat
    | ConfigDelta
    | ConfigNotice
    | ControlStatus
    | FetchConfig
    | FrameReceipt
    | Heartbeat
    | HeartbeatAck
    | Leave
    | Propose
    | ProposeReply
    | RaftPacket
    | SpreadQuestion
    | SpreadReply
    | SpreadCancel
    | OwnerSuspicion
    | QuarantineUpdate
    | StatusWanted
    | SummaryAck
    | SummaryReport
)

"""Messages between Raft nodes, each with sender, folder of the sender, recipient and term."""

from spindle_decisions.consensus.messages.append import Append
from spindle_decisions.consensus.messages.append_reply import AppendReply
from spindle_decisions.consensus.messages.install_snapshot import InstallSnapshot
from spindle_decisions.consensus.messages.install_snapshot_reply import InstallSnapshotReply
from spindle_decisions.consensus.messages.join_request import JoinRequest
from spindle_decisions.consensus.messages.pre_vote import PreVote
from spindle_decisions.consensus.messages.pre_vote_reply import PreVoteReply
from spindle_decisions.consensus.messages.raft_message import RaftMessage
from spindle_decisions.consensus.messages.vote import Vote
from spindle_decisions.consensus.messages.vote_reply import VoteReply

__all__ = [
    "Append",
    "AppendReply",
    "InstallSnapshot",
    "InstallSnapshotReply",
    "JoinRequest",
    "PreVote",
    "PreVoteReply",
    "RaftMessage",
    "Vote",
    "VoteReply",
]

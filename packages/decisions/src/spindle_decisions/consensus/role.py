"""The roles of a node."""

import enum


class Role(enum.StrEnum):
    """Current role of a node.

    A `BLANK` node knows no membership. A `LEARNER` follows the log without a vote; a node
    whose folder is not the one listed in the membership has this role too.
    """

    BLANK = "blank"
    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"

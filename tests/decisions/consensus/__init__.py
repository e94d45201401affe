"""Tests of the Raft consensus."""

import logging

logging.getLogger("spindle_decisions.consensus").setLevel(logging.CRITICAL)

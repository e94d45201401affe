"""Tests of the agreement."""

import logging

logging.getLogger("spindle_decisions.consensus").setLevel(logging.CRITICAL)

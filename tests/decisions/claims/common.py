"""Request ids and claim commands for tests."""

import uuid

from spindle_decisions.commands.claim_run import ClaimRun
from spindle_decisions.commands.record_outcome import RecordOutcome

START_MS = 1_790_000_000_000
HOUR_MS = 3_600_000


def request_id(created_at_ms: int = START_MS, serial: int = 0) -> str:
    """Return a UUID of version 7 with this time of creation."""
    return str(uuid.UUID(int=(created_at_ms << 80) | (7 << 76) | (2 << 62) | serial))


def claim(
    id_text: str, attempt: str = "a", at_ms: int = START_MS, digest: str = "d", instance: str = "e1"
) -> ClaimRun:
    """Return the command that claims a request id."""
    return ClaimRun(id_text, digest, attempt, instance, at_ms)


def outcome(
    id_text: str, attempt: str = "a", ran: bool = True, body: bytes = b"ok", at_ms: int = START_MS
) -> RecordOutcome:
    """Return the command that records an outcome."""
    return RecordOutcome(id_text, attempt, ran, 200 if ran else 0, body if ran else b"", at_ms)

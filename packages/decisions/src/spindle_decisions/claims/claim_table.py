"""The table of claims: which requests were dispatched, and their outcomes."""

import heapq

import msgspec

from spindle_decisions.claims.claim import Claim
from spindle_decisions.claims.claim_limits import ClaimLimits
from spindle_decisions.claims.claim_snapshot import ClaimSnapshot
from spindle_decisions.claims.claim_state import ClaimState
from spindle_decisions.claims.const import (
    CODE_BAD_REQUEST,
    CODE_ID_EXPIRED,
    CODE_OVERLOADED,
    MAX_FIELD_LENGTH,
    MAX_FUTURE_MS,
    MAX_RELEASED_ATTEMPTS,
    RETENTION_MS,
)
from spindle_decisions.claims.request_id import RequestId, parse_request_id
from spindle_decisions.commands.claim_granted import ClaimGranted
from spindle_decisions.commands.claim_held import ClaimHeld
from spindle_decisions.commands.claim_refused import ClaimRefused
from spindle_decisions.commands.claim_run import ClaimRun
from spindle_decisions.commands.outcome_recorded import OutcomeRecorded
from spindle_decisions.commands.record_outcome import RecordOutcome
from spindle_decisions.exceptions import BadRequestError

ANY_DIGEST = ""

ClaimResult = ClaimGranted | ClaimHeld | ClaimRefused


class ClaimTable:
    """Grants each request id to one attempt at a time; part of the replicated state.

    The first claim in the log is granted, and the first outcome that its attempt
    records is kept; later ones have no effect. A claim is removed only once the
    time in its id is older than `RETENTION_MS`. From then on the id is refused.

    `now_ms` is the time of the log in Unix milliseconds. A claim advances it to
    the earlier of the leader's clock and the time in the id. Thus a single clock
    that runs ahead can neither remove claims nor make all later ids look expired.
    """

    def __init__(self, limits: ClaimLimits) -> None:
        self.limits = limits
        self.now_ms = 0
        self.bodies_bytes = 0
        self._claims: dict[bytes, Claim] = {}
        self._oldest: list[bytes] = []

    def __len__(self) -> int:
        return len(self._claims)

    def claim(self, command: ClaimRun) -> ClaimResult:
        """Grant or refuse a claim, or return the claim that holds the id."""
        try:
            request_id = parse_request_id(command.request_id)
        except BadRequestError as err:
            return ClaimRefused(CODE_BAD_REQUEST, str(err))
        refusal = _check_fields(command) or _check_future(command, request_id)
        if refusal is not None:
            return refusal
        self._advance(min(command.proposed_at_ms, request_id.created_at_ms))
        claim = self._claims.get(request_id.key)
        if claim is None:
            return self._claim_new(command, request_id)
        return self._claim_again(command, claim)

    def record(self, command: RecordOutcome) -> OutcomeRecorded:
        """Record the first outcome of the attempt that holds the claim, or an early release."""
        ignored = OutcomeRecorded(command.request_id, first=False)
        try:
            request_id = parse_request_id(command.request_id)
        except BadRequestError:
            return ignored
        claim = self._claims.get(request_id.key)
        if claim is None:
            first = not command.ran and self._release_before_claim(command, request_id)
            return OutcomeRecorded(command.request_id, first)
        if claim.state is not ClaimState.OPEN or claim.attempt != command.attempt:
            return ignored
        self._put(request_id.key, self._with_outcome(claim, command))
        return OutcomeRecorded(command.request_id, first=True)

    def to_snapshot(self) -> ClaimSnapshot:
        """Return the content for a snapshot; equal tables give equal snapshots."""
        return ClaimSnapshot(self.now_ms, tuple(self._claims[key] for key in sorted(self._claims)))

    def restore(self, snapshot: ClaimSnapshot) -> None:
        """Replace the content with that of a snapshot."""
        self.now_ms = snapshot.now_ms
        self.bodies_bytes = 0
        self._claims = {}
        self._oldest = []
        for claim in snapshot.claims:
            self._put(claim.request_id, claim)
            self._oldest.append(claim.request_id)

    def _release_before_claim(self, command: RecordOutcome, request_id: RequestId) -> bool:
        """Store a release that precedes its claim in the log, so that the claim isn't granted."""
        if self._is_expired(request_id, command.proposed_at_ms) or self._is_full():
            return False
        if _future_ms(request_id, command.proposed_at_ms) > MAX_FUTURE_MS:
            return False
        if not 1 <= len(command.attempt) <= MAX_FIELD_LENGTH:
            return False
        released = Claim(
            request_id.key,
            ANY_DIGEST,
            command.attempt,
            instance="",
            state=ClaimState.RELEASED,
            released=(command.attempt,),
        )
        heapq.heappush(self._oldest, request_id.key)
        self._put(request_id.key, released)
        return True

    def _is_expired(self, request_id: RequestId, proposed_at_ms: int) -> bool:
        oldest_ms = max(self.now_ms, proposed_at_ms) - RETENTION_MS
        return request_id.created_at_ms <= oldest_ms

    def _is_full(self) -> bool:
        return len(self._claims) >= self.limits.max_claims

    def _claim_new(self, command: ClaimRun, request_id: RequestId) -> ClaimResult:
        if self._is_expired(request_id, command.proposed_at_ms):
            return ClaimRefused(CODE_ID_EXPIRED, f"request id is older than {RETENTION_MS} ms")
        if self._is_full() or not self._has_room_for_body():
            return ClaimRefused(CODE_OVERLOADED, f"the table holds {len(self._claims)} claims")
        heapq.heappush(self._oldest, request_id.key)
        return self._grant(command, request_id.key, ())

    def _claim_again(self, command: ClaimRun, claim: Claim) -> ClaimResult:
        if claim.request_digest not in (ANY_DIGEST, command.request_digest):
            return ClaimRefused(CODE_BAD_REQUEST, "request id was used with another request")
        if claim.state is ClaimState.RELEASED:
            return self._claim_released(command, claim)
        if claim.state is ClaimState.OPEN and claim.attempt == command.attempt:
            return ClaimGranted(command.request_id, command.attempt)
        recorded = claim.state is ClaimState.RECORDED
        return ClaimHeld(command.request_id, claim.instance, recorded, claim.status, claim.body)

    def _claim_released(self, command: ClaimRun, claim: Claim) -> ClaimResult:
        if command.attempt in claim.released:
            return ClaimHeld(command.request_id, claim.instance, recorded=False)
        if not self._has_room_for_body():
            return ClaimRefused(CODE_OVERLOADED, f"the table holds {len(self._claims)} claims")
        return self._grant(command, claim.request_id, claim.released)

    def _grant(self, command: ClaimRun, key: bytes, released: tuple[str, ...]) -> ClaimGranted:
        claim = Claim(
            key, command.request_digest, command.attempt, command.instance, released=released
        )
        self._put(key, claim)
        return ClaimGranted(command.request_id, command.attempt)

    def _with_outcome(self, claim: Claim, command: RecordOutcome) -> Claim:
        if not command.ran:
            released = (*claim.released, claim.attempt)[-MAX_RELEASED_ATTEMPTS:]
            return msgspec.structs.replace(claim, state=ClaimState.RELEASED, released=released)
        if len(command.body) > self.limits.max_body_bytes:
            return msgspec.structs.replace(claim, state=ClaimState.DROPPED)
        return msgspec.structs.replace(
            claim, state=ClaimState.RECORDED, status=command.status, body=command.body
        )

    def _has_room_for_body(self) -> bool:
        return self.bodies_bytes + self.limits.max_body_bytes <= self.limits.max_bodies_bytes

    def _put(self, key: bytes, claim: Claim) -> None:
        old = self._claims.get(key)
        if old is not None:
            self.bodies_bytes -= self._reserved_bytes(old)
        self._claims[key] = claim
        self.bodies_bytes += self._reserved_bytes(claim)

    def _reserved_bytes(self, claim: Claim) -> int:
        if claim.state is ClaimState.OPEN:
            return self.limits.max_body_bytes
        return len(claim.body)

    def _advance(self, now_ms: int) -> None:
        self.now_ms = max(self.now_ms, now_ms)
        oldest_ms = self.now_ms - RETENTION_MS
        while self._oldest and _created_at_ms(self._oldest[0]) <= oldest_ms:
            claim = self._claims.pop(heapq.heappop(self._oldest))
            self.bodies_bytes -= self._reserved_bytes(claim)


def create_claim_table(limits: ClaimLimits | None = None) -> ClaimTable:
    """Return an empty table, with the default limits unless `limits` is given."""
    return ClaimTable(limits or ClaimLimits())


def _check_fields(command: ClaimRun) -> ClaimRefused | None:
    for text in (command.request_digest, command.attempt, command.instance):
        if not 1 <= len(text) <= MAX_FIELD_LENGTH:
            return ClaimRefused(
                CODE_BAD_REQUEST, f"digest, attempt and instance take 1 to {MAX_FIELD_LENGTH}"
            )
    return None


def _check_future(command: ClaimRun, request_id: RequestId) -> ClaimRefused | None:
    ahead_ms = _future_ms(request_id, command.proposed_at_ms)
    if ahead_ms <= MAX_FUTURE_MS:
        return None
    return ClaimRefused(
        CODE_BAD_REQUEST, f"request id is {ahead_ms} ms ahead, allowed are {MAX_FUTURE_MS} ms"
    )


def _future_ms(request_id: RequestId, proposed_at_ms: int) -> int:
    return request_id.created_at_ms - proposed_at_ms


def _created_at_ms(key: bytes) -> int:
    return int.from_bytes(key[:6], "big")

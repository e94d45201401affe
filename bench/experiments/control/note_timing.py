"""Measures the time from the operator's request until a note is in force at every entry."""

import time

import gevent

from bench import deployment_files
from bench.deployment import Deployment
from spindle_decisions.util.units import MS_PER_S

POLL_INTERVAL_S = 0.02
PROPAGATION_TIMEOUT_S = 60.0
CLIENT_TIMEOUT_S = 2.0


def apply_and_time(deployment: Deployment, number: int, controls: list[str]) -> float:
    """Apply a note and return the milliseconds until the last entry applied it.

    The note is resent to the next control instance until one accepts it. The time
    of each entry comes from its timeline; all processes share one wall clock.
    Raises `TimeoutError` after `PROPAGATION_TIMEOUT_S`.
    """
    note = deployment_files.target_change_note(number, 100 + number % 1000)
    started_ms = time.time() * MS_PER_S
    deadline = time.monotonic() + PROPAGATION_TIMEOUT_S
    attempt = 0
    while not _accepted(deployment, note, controls[attempt % len(controls)]):
        attempt += 1
        if time.monotonic() > deadline:
            raise TimeoutError(f"note {number} not accepted within {PROPAGATION_TIMEOUT_S} s")
    names = [entry.name for entry in deployment.plan.entries]
    applied_ms = [_applied_at_ms(deployment, name, number, deadline) for name in names]
    return max(applied_ms) - started_ms


def _accepted(deployment: Deployment, note: str, control: str) -> bool:
    try:
        answer = deployment.operator(control, CLIENT_TIMEOUT_S).post("/v1/notes", note.encode())
    except OSError:
        gevent.sleep(POLL_INTERVAL_S)
        return False
    return answer.status == 200


def _applied_at_ms(deployment: Deployment, entry: str, number: int, deadline: float) -> float:
    while time.monotonic() < deadline:
        answer = deployment.operator(entry).get(f"/v1/timeline?note={number}")
        for event in answer.body["events"]:
            if event["kind"] == "config-taken":
                return float(event["stamp"]["wall_ms"])
        gevent.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"{entry} did not apply version {number} in {PROPAGATION_TIMEOUT_S} s")

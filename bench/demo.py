"""A demonstration: a small deployment from its start to its graceful shutdown."""

import pathlib
import sys
import tempfile

import msgspec

from bench import deployment_files
from bench.caller import Caller
from bench.cli import spindlectl
from bench.deployment import Deployment
from bench.plan import GroupPlan
from bench.plan_builder import build_plan

QUERIES = 40
GROUPS = (
    GroupPlan("comptoir", 6, 2),
    GroupPlan("reservations", 1, 4, kind="request", connections=100),
)


def main() -> int:
    """Run the demonstration; return 0 if every process shut down gracefully."""
    plan = build_plan(GROUPS, controls=1, entries=2, data_centers=("rennes-a", "brest-b"))
    with tempfile.TemporaryDirectory(prefix="spindle-demo-") as folder:
        deployment = Deployment(plan, pathlib.Path(folder))
        try:
            return _run_demo(deployment)
        finally:
            deployment.kill_all()


def _run_demo(deployment: Deployment) -> int:
    print("Starting 1 control instance, 2 entry instances and 16 stand-in upstreams.")
    deployment.start_standins()
    deployment.start_instance("control-1")
    deployment.wait_answer("control-1", "/v1/identity")
    _show(deployment, "bootstrap")
    for entry in deployment.plan.entries:
        deployment.start_instance(entry.name)
    note = deployment.folder / "note-1.ini"
    note.write_text(deployment_files.initial_note(deployment.plan))
    _show(deployment, "apply", str(note))
    for entry in deployment.plan.entries:
        deployment.wait_ready(entry.name)
    _show(deployment, "status")
    _ask(deployment)
    print("Stopping the entry instances; they send their last summaries to control.\n")
    codes = deployment.stop_named([entry.name for entry in deployment.plan.entries])
    _show(deployment, "page")
    codes |= deployment.stop()
    print(f"Exit codes: {codes}")
    return 0 if set(codes.values()) == {0} else 1


def _ask(deployment: Deployment) -> None:
    callers = [Caller(entry.entry_port) for entry in deployment.plan.entries]
    answers = [callers[number % len(callers)].query("comptoir") for number in range(QUERIES)]
    complete = next(item for item in answers if item.status == 200)
    body = complete.body
    print(
        f"\nOne answer: snapshot {body['snapshot']}, "
        f"{len(body['covered'])} of {body['services_total']} services, "
        f"missing {body['missing']}, {len(body['rows'])} rows, {complete.took_s * 1000:.1f} ms"
    )
    print(f"first row: {msgspec.json.encode(body['rows'][0]).decode()}\n")


def _show(deployment: Deployment, *arguments: str) -> None:
    done = spindlectl(deployment, *arguments)
    print(f"$ spindlectl {arguments[0]}\n{done.stdout}{done.stderr}", flush=True)
    if done.returncode:
        raise SystemExit(f"spindlectl {arguments[0]} exited with code {done.returncode}")


if __name__ == "__main__":
    sys.exit(main())

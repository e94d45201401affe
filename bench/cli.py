"""Runs `spindlectl` against a deployment under test."""

import subprocess
import sys

from bench.deployment import Deployment
from bench.ports import LOOPBACK

CLI_TIMEOUT_S = 60.0


def spindlectl(deployment: Deployment, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run one command with the key and the control addresses of the deployment."""
    return subprocess.run(
        [sys.executable, "-m", "spindle_cli", *operator_options(deployment), *arguments],
        capture_output=True,
        text=True,
        timeout=CLI_TIMEOUT_S,
        check=False,
    )


def operator_options(deployment: Deployment) -> list[str]:
    """Return the options that name the key and the control instances of a deployment."""
    options = ["--key-file", str(deployment.folder / "key")]
    for control in deployment.plan.controls:
        options += ["--control", f"{LOOPBACK}:{control.admin_port}"]
    return options

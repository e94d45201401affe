"""Configurations that the operator sends."""

from typing import Any

HOST = "pupu76.example"
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 262144,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


def single(name: str, prefix: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route to one service, like `fiche-resa`."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "idempotent",
        "timeoutMs": 2000,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
        **fields,
    }


def config(version: int, routes: list[dict[str, Any]], conns: dict[str, int]) -> dict[str, Any]:
    """Return a configuration; `conns` holds `maxConns` by service."""
    services = [
        {"name": name, "healthPath": "/health", "maxConns": count, "protocol": "h1", "tls": False}
        for name, count in conns.items()
    ]
    return {"version": version, "routes": routes, "services": services, "limits": LIMITS}


def gather(name: str, prefix: str, shards: list[str], **fields: Any) -> dict[str, Any]:
    """Return a route over shards, like `dispo-large`."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "idempotent",
        "timeoutMs": 4000,
        "targetLatencyMs": 400,
        "priority": 1,
        "gather": shards,
        "maxAttempts": 2,
        "topK": 20,
        "minShare": 0.89,
        **fields,
    }

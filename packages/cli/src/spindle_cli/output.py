"""Output of results as text or JSON."""

import datetime

import msgspec
import typer

from spindle_decisions.util.units import MS_PER_S


def print_json(value: object) -> None:
    """Write a value as indented JSON."""
    typer.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_error(code: str, text: str, as_json: bool, winner_digest: str = "") -> None:
    """Write an error to standard error, as one line of JSON if `as_json` is true."""
    if as_json:
        fields = {"code": code, "text": text, "winner_digest": winner_digest}
        typer.echo(msgspec.json.encode(fields).decode(), err=True)
        return
    typer.echo(f"spindlectl: {code}: {text}", err=True)
    if winner_digest:
        typer.echo(
            f"spindlectl: the applied note with this number or id has digest {winner_digest}",
            err=True,
        )


def time_text(wall_ms: int) -> str:
    """Format a time as `YYYY-MM-DD HH:MM:SS.mmm`, in UTC."""
    moment = datetime.datetime.fromtimestamp(wall_ms / MS_PER_S, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S.") + f"{wall_ms % MS_PER_S:03}"


def age_text(age_ms: int) -> str:
    """Format an age in ms, s, min or h, by its size."""
    if age_ms < MS_PER_S:
        return f"{age_ms} ms"
    seconds = age_ms // MS_PER_S
    if seconds < 120:
        return f"{seconds} s"
    if seconds < 7200:
        return f"{seconds // 60} min"
    return f"{seconds // 3600} h"

"""The commands `drain` and `undrain`."""

import getpass
import time
import uuid
from typing import Annotated

import typer

from spindle_cli import const
from spindle_cli.commands.current_context import command_context
from spindle_cli.drain_note import drain_note
from spindle_cli.note_sender import NoteSender
from spindle_cli.operator_api import OperatorApi
from spindle_cli.output import print_json
from spindle_decisions.commands.note_applied import NoteApplied
from spindle_decisions.exceptions import NoteConflictError, RemoteError, UnreachableError
from spindle_decisions.operator.note_details import NoteDetails

CODE_NUMBER_NOT_NEXT = "note-number-not-next"
NUMBER_CONFLICT_CODES = frozenset({NoteConflictError.code, CODE_NUMBER_NOT_NEXT})
MAX_AUTHOR_CHARS = 64

Upstream = Annotated[str, typer.Argument(help="The name of the upstream.")]
Wait = Annotated[float, typer.Option("--wait", min=1, help="Seconds to keep trying in total.")]


def drain(ctx: typer.Context, upstream: Upstream, wait: Wait = const.DEFAULT_NOTE_WAIT_S) -> None:
    """Stop sending new work to an upstream.

    The command writes and applies a release note with the next free number.
    """
    _change(ctx, upstream, True, wait)


def undrain(ctx: typer.Context, upstream: Upstream, wait: Wait = const.DEFAULT_NOTE_WAIT_S) -> None:
    """Resume sending new work to an upstream."""
    _change(ctx, upstream, False, wait)


def _change(ctx: typer.Context, upstream: str, draining: bool, wait_s: float) -> None:
    context = command_context(ctx)
    applied = apply_with_next_number(context.api(), upstream, draining, wait_s)
    if context.settings.as_json:
        print_json(applied)
        return
    new_state = "is draining" if draining else "accepts work again"
    typer.echo(
        f"upstream {upstream} {new_state} as of note {applied.number}, version {applied.version}"
    )


def apply_with_next_number(
    api: OperatorApi, upstream: str, draining: bool, wait_s: float
) -> NoteApplied:
    """Apply a drain note with the next free number.

    If another note uses that number first, the drain note is certainly not applied and
    is sent again under the same id with a newer number. An unknown outcome is not retried.
    """
    deadline = time.monotonic() + wait_s
    note_id = str(uuid.uuid4())
    author = getpass.getuser()[:MAX_AUTHOR_CHARS]
    while (left_s := deadline - time.monotonic()) > 0:
        number = next_number(api)
        text = drain_note(number, note_id, author, upstream, draining)
        try:
            return NoteSender(api, left_s).send(text)
        except RemoteError as err:
            if err.code not in NUMBER_CONFLICT_CODES:
                raise
    raise UnreachableError(
        f"other notes used every number tried within {wait_s:g} s; nothing was changed"
    )


def next_number(api: OperatorApi) -> int:
    """Return the number after the highest accepted one."""
    rows = api.request_any("GET", const.PATH_NOTES, tuple[NoteDetails, ...])
    return max((row.number for row in rows), default=0) + 1

"""The commands `apply` and `check`."""

import pathlib
from typing import Annotated

import typer

from spindle_cli import const
from spindle_cli.commands.current_context import command_context
from spindle_cli.note_sender import NoteSender
from spindle_cli.output import print_json
from spindle_decisions.commands.note_applied import NoteApplied
from spindle_decisions.exceptions import SettingsError

NoteFile = Annotated[pathlib.Path, typer.Argument(help="The release note, an INI file.")]
Wait = Annotated[
    float, typer.Option("--wait", min=1, help="Seconds to keep sending until the outcome is known.")
]


def apply(ctx: typer.Context, note: NoteFile, wait: Wait = const.DEFAULT_NOTE_WAIT_S) -> None:
    """Apply a release note.

    The same note may be sent any number of times: it is applied once, and every
    resend returns the first outcome. When an answer is lost, the command resends
    the note automatically, also to the other control instances.
    """
    context = command_context(ctx)
    text = read_note(note)
    applied = NoteSender(context.api(), wait).send(text)
    if context.settings.as_json:
        print_json(applied)
        return
    typer.echo(
        f"note {applied.number} ({applied.note_id}) accepted as version {applied.version}, "
        f"digest {applied.digest}\nto see where it is in force, run: spindlectl status"
    )


def check(ctx: typer.Context, note: NoteFile) -> None:
    """Check a release note against the committed state without changing it."""
    context = command_context(ctx)
    text = read_note(note)
    checked = context.api().request_any("POST", const.PATH_CHECK, NoteApplied, text)
    if context.settings.as_json:
        print_json(checked)
        return
    typer.echo(f"note {checked.number} is valid and would become version {checked.version}")


def read_note(path: pathlib.Path) -> bytes:
    """Read a note file; raise `SettingsError` when it cannot be read."""
    try:
        return path.read_bytes()
    except OSError as err:
        raise SettingsError(f"note {path} cannot be read: {err.strerror}") from err

"""The command line `spindlectl`."""

import pathlib
from typing import Annotated

import typer

from spindle_cli import const
from spindle_cli.command_context import CommandContext
from spindle_cli.commands import apply, drain, notes, page, repair, status, timeline
from spindle_cli.error_group import ErrorGroup
from spindle_cli.exit_code import exit_code_for
from spindle_cli.output import print_error
from spindle_cli.settings_loader import load_cli_settings
from spindle_decisions.exceptions import SettingsError

PANEL_NOTES = "Release notes"
PANEL_STATE = "State of the deployment"
PANEL_ACCOUNT = "Day page and timeline"
PANEL_REPAIR = "Bootstrap and repair"

HELP = """Operate a damaskspindle deployment.

Every command talks to the admin endpoints of the control instances, which are
given by --control, by SPINDLE_CONTROLS or in the file of --config, and signs
its requests with the shared key.

Exit codes: 0 done, 1 refused with a code, 2 wrong usage or input, 3 no control
instance could be reached or there was no quorum, 4 the outcome is unknown.
"""

app = typer.Typer(
    name="spindlectl",
    cls=ErrorGroup,
    help=HELP,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)


@app.callback()
def global_options(
    ctx: typer.Context,
    control: Annotated[
        list[str] | None,
        typer.Option(
            "--control",
            envvar=const.ENV_CONTROLS,
            help="Admin endpoint IP:PORT of a control instance; may be given more than once.",
        ),
    ] = None,
    key_file: Annotated[
        pathlib.Path | None,
        typer.Option("--key-file", envvar=const.ENV_KEY_FILE, help="File with the shared key."),
    ] = None,
    config: Annotated[
        pathlib.Path | None,
        typer.Option(
            "--config",
            envvar=const.ENV_CONFIG,
            help="INI file; its section spindlectl has controls, key-file and timezone.",
        ),
    ] = None,
    as_json: Annotated[bool, typer.Option("--json", help="Write results as JSON.")] = False,
) -> None:
    """Read the options that every command shares."""
    try:
        settings = load_cli_settings(control or [], key_file, config, as_json)
    except SettingsError as err:
        print_error(err.code, str(err), as_json)
        raise typer.Exit(int(exit_code_for(err))) from err
    ctx.obj = CommandContext(settings)


app.command(rich_help_panel=PANEL_NOTES)(apply.apply)
app.command(rich_help_panel=PANEL_NOTES)(apply.check)
app.command(rich_help_panel=PANEL_NOTES)(notes.notes)
app.command(rich_help_panel=PANEL_NOTES)(notes.show)
app.command(rich_help_panel=PANEL_NOTES)(drain.drain)
app.command(rich_help_panel=PANEL_NOTES)(drain.undrain)
app.command(rich_help_panel=PANEL_STATE)(status.status)
app.command(rich_help_panel=PANEL_STATE)(status.members)
app.command(rich_help_panel=PANEL_STATE)(status.instances)
app.command(rich_help_panel=PANEL_ACCOUNT)(page.page)
app.command(rich_help_panel=PANEL_ACCOUNT)(timeline.timeline)
app.command(rich_help_panel=PANEL_ACCOUNT)(timeline.explain)
app.command(rich_help_panel=PANEL_REPAIR)(repair.bootstrap)
app.command(rich_help_panel=PANEL_REPAIR)(repair.repair)

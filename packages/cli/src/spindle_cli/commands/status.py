"""The commands `status`, `members` and `instances`."""

import typer

from spindle_cli import const
from spindle_cli.commands.current_context import command_context
from spindle_cli.output import age_text, print_json
from spindle_cli.process_result import ProcessResult
from spindle_cli.processes import discover_processes
from spindle_cli.table import format_table
from spindle_decisions.consensus.member import Member
from spindle_decisions.exceptions import UnreachableError
from spindle_decisions.operator.identity_reply import IdentityReply
from spindle_decisions.operator.status_reply import StatusReply

EMPTY_CELL = "-"


def status(ctx: typer.Context) -> None:
    """Show which version is accepted, and where it is in force.

    Accepted means committed by a majority of the control instances. In force means
    that every live entry instance of a data centre has confirmed it.
    """
    context = command_context(ctx)
    api = context.api()
    processes = discover_processes(api)
    answers = api.request_all(processes.controls, const.PATH_STATUS, StatusReply)
    freshest = freshest_status(answers)
    if context.settings.as_json:
        print_json(tuple(item.value for item in answers if item.value is not None))
        return
    typer.echo(f"version {freshest.version} accepted, digest {freshest.digest}\n")
    typer.echo(_data_center_table(freshest))
    typer.echo("\n" + _control_table(answers))


def freshest_status(answers: list[ProcessResult[StatusReply]]) -> StatusReply:
    """Return the newest status that is not stale, or the newest one if all are stale."""
    values = [item.value for item in answers if item.value is not None]
    if not values:
        raise UnreachableError("; ".join(str(item.error) for item in answers))
    return max(values, key=lambda item: (not item.stale, item.version, item.term))


def members(ctx: typer.Context) -> None:
    """List the control instances that are members of the deployment."""
    context = command_context(ctx)
    api = context.api()
    rows = api.request_any("GET", const.PATH_MEMBERS, tuple[Member, ...])
    if context.settings.as_json:
        print_json(rows)
        return
    answers = api.request_all(discover_processes(api).controls, const.PATH_IDENTITY, IdentityReply)
    by_name = {item.value.name: item.value for item in answers if item.value is not None}
    typer.echo(
        format_table(
            ("member", "votes", "role now", "data folder"),
            [
                (
                    row.name,
                    _yes_or_no(row.voter),
                    _role_text(row, by_name.get(row.name)),
                    row.folder_id,
                )
                for row in rows
            ],
        )
    )


def instances(ctx: typer.Context) -> None:
    """List the instances that are considered live, with their admin addresses."""
    context = command_context(ctx)
    processes = discover_processes(context.api())
    if len(processes.problems) == len(context.settings.controls):
        raise UnreachableError("; ".join(processes.problems))
    if context.settings.as_json:
        print_json(processes.instances)
        return
    typer.echo(
        format_table(
            ("instance", "role", "data centre", "admin", "leaving"),
            [
                (
                    row.instance,
                    row.role,
                    row.data_center,
                    f"{row.admin_host}:{row.admin_port}",
                    _yes_or_no(row.leaving),
                )
                for row in processes.instances
            ],
        )
    )
    for problem in processes.problems:
        typer.echo(problem, err=True)


def _data_center_table(status: StatusReply) -> str:
    return format_table(
        ("data centre", "version", "in force", "entries", "not confirmed", "silent", "last heard"),
        [
            (
                item.data_center,
                str(item.version),
                _yes_or_no(item.in_force),
                str(item.instances),
                ", ".join(item.unconfirmed) or EMPTY_CELL,
                ", ".join(item.unresponsive) or EMPTY_CELL,
                age_text(item.oldest_age_ms),
            )
            for item in status.data_centers
        ],
    )


def _control_table(answers: list[ProcessResult[StatusReply]]) -> str:
    rows = []
    for item in answers:
        value = item.value
        if value is None:
            rows.append(
                (str(item.address), EMPTY_CELL, EMPTY_CELL, EMPTY_CELL, f"no answer: {item.error}")
            )
            continue
        state = f"stale: no quorum for {age_text(value.quorum_age_ms)}" if value.stale else "good"
        rows.append((value.control, value.role, str(value.version), str(value.term), state))
    return format_table(("control", "role", "version", "term", "state"), rows)


def _role_text(row: Member, identity: IdentityReply | None) -> str:
    if identity is None:
        return "no answer"
    if identity.folder_id != row.folder_id:
        return f"{identity.role}, with another data folder {identity.folder_id}"
    return identity.role


def _yes_or_no(value: bool) -> str:
    return "yes" if value else "no"

"""The commands `status`, `members` and `instances`."""

import typer

from spindle_cli import const
from spindle_cli.answer import Answer
from spindle_cli.commands.options import session_of
from spindle_cli.output import age_text, print_json
from spindle_cli.processes import find_processes
from spindle_cli.table import format_table
from spindle_decisions.consensus.member import Member
from spindle_decisions.exceptions import UnreachableError
from spindle_decisions.operator.identity_reply import IdentityReply
from spindle_decisions.operator.status_reply import StatusReply

UNKNOWN = "-"


def status(ctx: typer.Context) -> None:
    """Show which version is accepted, and where it is in force.

    Accepted means agreed by a majority of the control instances. In force means
    that every live entry instance of a data centre has confirmed it.
    """
    session = session_of(ctx)
    api = session.api()
    processes = find_processes(api)
    answers = api.ask_all(processes.controls, const.PATH_STATUS, StatusReply)
    best = newest_status(answers)
    if session.settings.as_json:
        print_json(tuple(item.value for item in answers if item.value is not None))
        return
    typer.echo(f"version {best.version} accepted, digest {best.digest}\n")
    typer.echo(_data_centers(best))
    typer.echo("\n" + _controls(answers))


def newest_status(answers: list[Answer[StatusReply]]) -> StatusReply:
    """Return the answer to go by: one that is not stale, of the highest version."""
    values = [item.value for item in answers if item.value is not None]
    if not values:
        raise UnreachableError("; ".join(str(item.error) for item in answers))
    return max(values, key=lambda item: (not item.stale, item.version, item.term))


def members(ctx: typer.Context) -> None:
    """List the control instances that take part in the agreement."""
    session = session_of(ctx)
    api = session.api()
    rows = api.ask_any("GET", const.PATH_MEMBERS, tuple[Member, ...])
    if session.settings.as_json:
        print_json(rows)
        return
    answers = api.ask_all(find_processes(api).controls, const.PATH_IDENTITY, IdentityReply)
    by_name = {item.value.name: item.value for item in answers if item.value is not None}
    typer.echo(
        format_table(
            ("member", "votes", "role now", "data folder"),
            [
                (row.name, _yes(row.voter), _role(row, by_name.get(row.name)), row.folder_id)
                for row in rows
            ],
        )
    )


def instances(ctx: typer.Context) -> None:
    """List the instances that are believed to live, with their admin addresses."""
    session = session_of(ctx)
    processes = find_processes(session.api())
    if len(processes.problems) == len(session.settings.controls):
        raise UnreachableError("; ".join(processes.problems))
    if session.settings.as_json:
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
                    _yes(row.leaving),
                )
                for row in processes.instances
            ],
        )
    )
    for problem in processes.problems:
        typer.echo(problem, err=True)


def _data_centers(status: StatusReply) -> str:
    return format_table(
        ("data centre", "version", "in force", "entries", "not confirmed", "silent", "last heard"),
        [
            (
                item.data_center,
                str(item.version),
                _yes(item.in_force),
                str(item.instances),
                ", ".join(item.unconfirmed) or UNKNOWN,
                ", ".join(item.unresponsive) or UNKNOWN,
                age_text(item.oldest_age_ms),
            )
            for item in status.data_centers
        ],
    )


def _controls(answers: list[Answer[StatusReply]]) -> str:
    rows = []
    for item in answers:
        value = item.value
        if value is None:
            rows.append((str(item.address), UNKNOWN, UNKNOWN, UNKNOWN, f"no answer: {item.error}"))
            continue
        state = f"stale: no quorum for {age_text(value.quorum_age_ms)}" if value.stale else "good"
        rows.append((value.control, value.role, str(value.version), str(value.term), state))
    return format_table(("control", "role", "version", "term", "state"), rows)


def _role(row: Member, identity: IdentityReply | None) -> str:
    if identity is None:
        return "no answer"
    if identity.folder_id != row.folder_id:
        return f"{identity.role}, with another data folder {identity.folder_id}"
    return identity.role


def _yes(value: bool) -> str:
    return "yes" if value else "no"

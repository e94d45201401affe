"""The commands `bootstrap` and `repair`."""

from typing import Annotated

import msgspec
import typer

from spindle_cli import const
from spindle_cli.address import Address
from spindle_cli.commands.current_context import command_context
from spindle_cli.operator_api import OperatorApi
from spindle_cli.output import print_json
from spindle_decisions.consensus.member import Member
from spindle_decisions.exceptions import BadRequestError, MembershipChangeError, UnreachableError
from spindle_decisions.operator.bootstrap_member import BootstrapMember
from spindle_decisions.operator.bootstrap_request import BootstrapRequest
from spindle_decisions.operator.identity_reply import IdentityReply
from spindle_decisions.operator.repair_reply import RepairReply
from spindle_decisions.operator.repair_request import RepairRequest

ACTION_EXPLAIN = "explain"
ACTION_FORCE = "force-membership"


def bootstrap(ctx: typer.Context) -> None:
    """Bootstrap a new deployment with the control instances given by --control.

    Each of them must answer, and must be blank or already have exactly these
    members, so the command can be run again after a partial failure.
    """
    context = command_context(ctx)
    api = context.api()
    answers = read_identities(api)
    request = build_bootstrap_request([identity for _, identity in answers])
    body = msgspec.json.encode(request)
    for address, identity in answers:
        if identity.blank:
            api.request_one(address, "POST", const.PATH_BOOTSTRAP, tuple[Member, ...], body)
    if context.settings.as_json:
        print_json(request)
        return
    names = ", ".join(member.name for member in request.members)
    typer.echo(f"deployment bootstrapped with {names}")


def build_bootstrap_request(identities: list[IdentityReply]) -> BootstrapRequest:
    """Return the request with all instances as members.

    Raises `MembershipChangeError` if one already belongs to another deployment.
    """
    members = {(item.name, item.folder_id) for item in identities}
    for item in identities:
        recorded = {(row.name, row.folder_id) for row in item.membership.members}
        if not item.blank and recorded != members:
            raise MembershipChangeError(
                f"{item.name} already belongs to another deployment; nothing was changed"
            )
    return BootstrapRequest(
        tuple(BootstrapMember(item.name, item.folder_id) for item in identities)
    )


def read_identities(api: OperatorApi) -> list[tuple[Address, IdentityReply]]:
    """Return the identity of each given control instance.

    Raises `UnreachableError` if one does not answer, and `BadRequestError` if two
    addresses lead to the same instance.
    """
    answers = api.request_all(api.required_controls(), const.PATH_IDENTITY, IdentityReply)
    failed = [str(item.error) for item in answers if item.error is not None]
    if failed:
        raise UnreachableError(f"nothing was changed: {'; '.join(failed)}")
    found = [(item.address, item.value) for item in answers if item.value is not None]
    if len({identity.name for _, identity in found}) < len(found):
        raise BadRequestError("two addresses lead to the same control instance")
    return found


def repair(
    ctx: typer.Context,
    force: Annotated[
        bool,
        typer.Option(
            "--force-membership",
            help="Reduce the membership to the instances of --member. "
            "Data that only the others held is lost.",
        ),
    ] = False,
    member: Annotated[
        list[str] | None, typer.Option("--member", help="A control instance that remains.")
    ] = None,
    reason: Annotated[str, typer.Option(help="The reason, recorded on the timeline.")] = "",
) -> None:
    """Explain the state of the control instances, or repair a lost majority.

    Without options nothing is changed. After the loss of a disk or of a minority,
    --force-membership is not needed: the instances rejoin automatically.
    """
    context = command_context(ctx)
    request = build_repair_request(force, tuple(member or ()), reason)
    body = msgspec.json.encode(request)
    api = context.api()
    if request.action == ACTION_EXPLAIN:
        reply = api.request_any("POST", const.PATH_REPAIR, RepairReply, body)
    else:
        reply = api.request_one(
            api.required_controls()[0], "POST", const.PATH_REPAIR, RepairReply, body
        )
    if context.settings.as_json:
        print_json(reply)
        return
    for line in (*reply.steps, reply.text):
        if line:
            typer.echo(line)


def build_repair_request(force: bool, members: tuple[str, ...], reason: str) -> RepairRequest:
    """Build the request; raise `BadRequestError` when the options are inconsistent."""
    if not force:
        if members or reason:
            raise BadRequestError("--member and --reason need --force-membership")
        return RepairRequest(ACTION_EXPLAIN)
    if not members or not reason:
        raise BadRequestError("--force-membership needs --member and --reason")
    return RepairRequest(ACTION_FORCE, members, reason)

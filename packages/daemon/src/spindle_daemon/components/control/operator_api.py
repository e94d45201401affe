"""The admin endpoints of a control instance for operators."""

import logging

import msgspec

from spindle_daemon.components.admin.admin_app import AdminApplication
from spindle_daemon.components.admin.admin_request import AdminRequest
from spindle_daemon.components.admin.const import PATH_INSTANCES
from spindle_daemon.components.control.const import NOTE_TIMEOUT_S
from spindle_daemon.components.control.instance_registry import InstanceRegistry
from spindle_daemon.components.control.raft_driver import RaftDriver
from spindle_daemon.components.control.repair_handler import RepairHandler
from spindle_daemon.components.control.status_builder import build_status
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.json_response import JsonResponse, json_ok
from spindle_decisions.commands.apply_note import ApplyNote
from spindle_decisions.commands.note_applied import NoteApplied
from spindle_decisions.commands.note_refused import NoteRefused
from spindle_decisions.consensus.member import Member
from spindle_decisions.consensus.membership_set import MembershipSet
from spindle_decisions.exceptions import BadRequestError, NoteError
from spindle_decisions.notes.parser import parse_note
from spindle_decisions.operator.bootstrap_request import BootstrapRequest
from spindle_decisions.operator.identity_reply import IdentityReply
from spindle_decisions.operator.note_details import create_note_details
from spindle_decisions.operator.repair_request import RepairRequest

_LOGGER = logging.getLogger(__name__)

CODE_NUMBER_TAKEN = "note-number-taken"
STATUS_CONFLICT = 409
STATUS_UNPROCESSABLE = 422


class OperatorEndpoints:
    """Answers operators from the replicated state, and proposes their notes to the log."""

    def __init__(
        self, spindle: Spindle, driver: RaftDriver, registry: InstanceRegistry, folder_id: str
    ) -> None:
        self.spindle = spindle
        self.driver = driver
        self.registry = registry
        self.folder_id = folder_id
        self.repair_handler = RepairHandler(driver, spindle.clock)

    def register(self, app: AdminApplication) -> None:
        """Add the routes to the admin application."""
        app.route("POST", "/v1/notes", self.apply_note)
        app.route("POST", "/v1/notes/check", self.check_note)
        app.route("GET", "/v1/notes", self.list_notes)
        app.route("GET", "/v1/notes/*", self.show_note)
        app.route("GET", "/v1/status", self.status)
        app.route("GET", "/v1/members", self.members)
        app.route("GET", PATH_INSTANCES, self.instances)
        app.route("GET", "/v1/reports", self.reports)
        app.route("GET", "/v1/identity", self.identity)
        app.route("POST", "/v1/bootstrap", self.bootstrap)
        app.route("POST", "/v1/repair", self.repair)

    def apply_note(self, request: AdminRequest) -> JsonResponse:
        """Propose a release note; if it is sent again, the answer is the same."""
        text = _decode_note_text(request.body)
        parse_note(text)
        reply = self.spindle.control.propose(ApplyNote(text, 0), NOTE_TIMEOUT_S)
        assert isinstance(reply.result, NoteApplied | NoteRefused)
        return _note_response(reply.result)

    def check_note(self, request: AdminRequest) -> JsonResponse:
        """Check a release note against the state applied here, without changing it."""
        return _note_response(self.driver.state.validate_note(_decode_note_text(request.body)))

    def list_notes(self, _request: AdminRequest) -> JsonResponse:
        """List the applied notes."""
        return json_ok(self.driver.state.notes())

    def show_note(self, request: AdminRequest) -> JsonResponse:
        """Show one note by number."""
        for record in self.driver.state.notes():
            if str(record.number) == request.last_part:
                return json_ok(create_note_details(record, self._note_text(record.version)))
        raise BadRequestError(f"no note with number {request.last_part}")

    def _note_text(self, version: int) -> str:
        texts = self.driver.state.note_texts_between(version - 1, version)
        return texts[0] if texts else ""

    def status(self, _request: AdminRequest) -> JsonResponse:
        """Return the version in force per data centre and the instances that lack it."""
        return json_ok(build_status(self.spindle, self.driver, self.registry))

    def members(self, _request: AdminRequest) -> JsonResponse:
        """List the members of the control membership."""
        return json_ok(self.driver.node.membership.members)

    def instances(self, _request: AdminRequest) -> JsonResponse:
        """List all instances with their admin addresses."""
        return json_ok((self.spindle.own_instance(), *self.registry.table.live_instances()))

    def reports(self, _request: AdminRequest) -> JsonResponse:
        """List all entry instances with the catalog version that each confirmed."""
        return json_ok(self.registry.table.reports(self.spindle.clock.now()))

    def identity(self, _request: AdminRequest) -> JsonResponse:
        """Return identity, role and log position of this control instance."""
        node = self.driver.node
        reply = IdentityReply(
            name=self.spindle.settings.instance.name,
            folder_id=self.folder_id,
            blank=node.role.name == "BLANK",
            role=node.role.name.lower(),
            term=node.term,
            leader=node.leader or "",
            commit_index=node.commit_index,
            applied_index=self.driver.applied_index,
            membership=node.membership,
        )
        return json_ok(reply)

    def bootstrap(self, request: AdminRequest) -> JsonResponse:
        """Create the first membership of a deployment; rejected unless this instance is blank."""
        try:
            bootstrap_request = msgspec.json.decode(request.body, type=BootstrapRequest)
        except msgspec.MsgspecError as err:
            raise BadRequestError(f"bootstrap request is malformed: {err}") from err
        members = tuple(
            sorted(
                Member(item.name, item.folder_id, voter=True) for item in bootstrap_request.members
            )
        )
        self.driver.node.bootstrap(MembershipSet(members))
        self.driver.process_ready()
        return json_ok(members)

    def repair(self, request: AdminRequest) -> JsonResponse:
        """Explain the state of consensus, or force a membership after the loss of a majority."""
        try:
            repair_request = msgspec.json.decode(request.body, type=RepairRequest)
        except msgspec.MsgspecError as err:
            raise BadRequestError(f"repair request is malformed: {err}") from err
        return json_ok(self.repair_handler.handle(repair_request))


def _note_response(result: NoteApplied | NoteRefused) -> JsonResponse:
    if isinstance(result, NoteApplied):
        return json_ok(result)
    status = STATUS_CONFLICT if result.code == CODE_NUMBER_TAKEN else STATUS_UNPROCESSABLE
    return JsonResponse(status, msgspec.json.encode(result))


def _decode_note_text(body: bytes) -> str:
    try:
        return body.decode("utf-8")
    except UnicodeDecodeError as err:
        raise NoteError(f"the note is not UTF-8: {err}") from err

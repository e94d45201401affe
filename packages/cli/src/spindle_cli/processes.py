"""Discovery of the processes of a deployment."""

import dataclasses

from spindle_cli import const
from spindle_cli.address import Address
from spindle_cli.operator_api import OperatorApi
from spindle_cli.process_result import ProcessResult
from spindle_decisions.wire.live_instance import LiveInstance


@dataclasses.dataclass(frozen=True)
class DiscoveredProcesses:
    """The processes known to the control instances, and the requests that failed."""

    instances: tuple[LiveInstance, ...]
    controls: tuple[Address, ...]
    failed: tuple[ProcessResult[tuple[LiveInstance, ...]], ...] = ()

    @property
    def problems(self) -> tuple[str, ...]:
        """Return a sentence for each control instance that could not be queried."""
        return tuple(f"{item.address} could not be queried: {item.error}" for item in self.failed)

    def addresses(self) -> tuple[Address, ...]:
        """Return the admin address of every process once, control instances first."""
        known = [Address(item.admin_host, item.admin_port) for item in self.instances]
        return tuple(dict.fromkeys((*self.controls, *known)))

    def name_of(self, address: Address) -> str:
        """Return the name and address of a process, or only the address if the name is unknown."""
        for item in self.instances:
            if Address(item.admin_host, item.admin_port) == address:
                return f"{item.instance} ({address})"
        return str(address)


def discover_processes(api: OperatorApi) -> DiscoveredProcesses:
    """Request the known instances from every control instance and merge the answers.

    Control instances that appear in the answers are added to those given.
    """
    answers = api.request_all(
        api.required_controls(), const.PATH_INSTANCES, tuple[LiveInstance, ...]
    )
    instances: dict[tuple[str, int], LiveInstance] = {}
    for answer in answers:
        for item in answer.value or ():
            instances[(item.instance, item.incarnation)] = item
    newest: dict[str, LiveInstance] = {}
    for item in sorted(instances.values(), key=lambda row: (row.instance, row.incarnation)):
        newest[item.instance] = item
    found = tuple(newest.values())
    controls = [
        Address(item.admin_host, item.admin_port) for item in found if item.role == "control"
    ]
    return DiscoveredProcesses(
        instances=found,
        controls=tuple(dict.fromkeys((*api.controls, *controls))),
        failed=tuple(answer for answer in answers if answer.error is not None),
    )

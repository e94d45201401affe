"""Settings files and release notes of a deployment under test."""

import configparser
import io
import pathlib
import uuid

from bench.plan import DeploymentPlan, GroupPlan, InstancePlan, UpstreamPlan
from bench.ports import LOOPBACK

Section = dict[str, str]


def render_ini(sections: dict[str, Section]) -> str:
    """Return the text of an INI file."""
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    parser.read_dict(sections)
    output = io.StringIO()
    parser.write(output)
    return output.getvalue()


def instance_settings(plan: DeploymentPlan, item: InstancePlan, folder: pathlib.Path) -> str:
    """Return the settings file of a control or entry instance."""
    sections: dict[str, Section] = {
        "instance": {
            "name": item.name,
            "data-center": item.data_center,
            "role": item.role,
            "key-file": str(folder / "key"),
        },
        "mesh": {"listen": _mesh(item.mesh_port)},
        "admin": {"listen": f"{LOOPBACK}:{item.admin_port}"},
        "controls": {
            control.name: _mesh(_link_port(plan, item.name, control)) for control in plan.controls
        },
    }
    if item.role == "control":
        sections["instance"]["data-dir"] = str(folder / f"data-{item.name}")
        sections["control"] = dict(plan.control_settings)
        return render_ini(sections)
    sections["peers"] = {
        entry.name: _mesh(entry.mesh_port) for entry in plan.entries if entry.name != item.name
    }
    sections["entry"] = {"listen": f"{LOOPBACK}:{item.entry_port}", **dict(plan.entry_settings)}
    sections["serving"] = dict(plan.serving_settings)
    return render_ini(sections)


def standin_settings(upstreams: tuple[UpstreamPlan, ...], plan: DeploymentPlan) -> str:
    """Return the settings file of one stand-in process."""
    groups = {group.name: group for group in plan.groups}
    return render_ini(
        {f"upstream {item.name}": _upstream(item, groups[item.group]) for item in upstreams}
    )


def _upstream(item: UpstreamPlan, group: GroupPlan) -> Section:
    return {
        "listen": f"{LOOPBACK}:{item.port}",
        "service": item.service,
        "slots": str(group.slots),
        "connections": str(group.connections),
        **dict(item.settings),
    }


def initial_note(plan: DeploymentPlan, author: str = "bench") -> str:
    """Return release note 1, which creates all data centres, groups, services and upstreams."""
    sections: dict[str, Section] = {"note": note_header(1, author)}
    for name in plan.data_centers:
        sections[f"added data-center {name}"] = {"region": "bretagne"}
    for group in plan.groups:
        sections[f"added group {group.name}"] = {"kind": group.kind}
        for number in range(group.services):
            name = f"{group.name}-{number + 1:02d}"
            sections[f"added service {name}"] = {"group": group.name}
    groups = {group.name: group for group in plan.groups}
    for item in plan.upstreams:
        sections[f"added upstream {item.name}"] = {
            "service": item.service,
            "data-center": item.data_center,
            "address": f"{LOOPBACK}:{item.port}",
            "slots": str(groups[item.group].slots),
            "connections": str(groups[item.group].connections),
        }
    return render_ini(sections)


def target_change_note(number: int, target_ms: int, group: str = "comptoir") -> str:
    """Return a release note that changes the target latency of a group."""
    change = {f"changed group {group}": {"target-ms": str(target_ms)}}
    return render_ini({"note": note_header(number), **change})


def note_header(number: int, author: str = "bench") -> Section:
    """Return the `[note]` section of a release note, with a random id."""
    return {"number": str(number), "id": str(uuid.uuid4()), "author": author}


def _mesh(port: int) -> str:
    return f"tcp://{LOOPBACK}:{port}"


def _link_port(plan: DeploymentPlan, instance: str, control: InstancePlan) -> int:
    for from_name, to_name, port in plan.links:
        if from_name == instance and to_name == control.name:
            return port
    return control.mesh_port

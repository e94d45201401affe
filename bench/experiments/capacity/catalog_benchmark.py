"""Costs of the catalog and of release notes against the number of upstreams."""

import msgspec

from bench import deployment_files
from bench.experiments.capacity.slope import cpu_us, fit, held_bytes
from bench.experiments.figures import Figures
from bench.plan import DeploymentPlan, GroupPlan, UpstreamPlan
from spindle_decisions.catalog.catalog import EMPTY_CATALOG, Catalog
from spindle_decisions.catalog.index import CatalogIndex
from spindle_decisions.notes.applier import apply_note
from spindle_decisions.notes.parser import parse_note

UPSTREAMS = (50, 200, 500, 1000, 1700)
SERVICE_RATIO = 1300 / 1700


def create_catalog(upstreams: int) -> Catalog:
    """Return a catalog with the given number of upstreams."""
    services = int(upstreams * SERVICE_RATIO)
    plan = DeploymentPlan(
        controls=(),
        entries=(),
        groups=(GroupPlan("comptoir", services, 1),),
        upstreams=tuple(
            UpstreamPlan(
                f"u-{number:04d}",
                f"comptoir-{number % services + 1:02d}",
                "comptoir",
                "rennes-a",
                10_000 + number,
                "none",
            )
            for number in range(upstreams)
        ),
        data_centers=("rennes-a",),
    )
    return apply_note(EMPTY_CATALOG, parse_note(deployment_files.initial_note(plan)))


def upstream_change_note() -> str:
    """Return a release note that changes one upstream."""
    header = deployment_files.note_header(2)
    return deployment_files.render_ini(
        {"note": header, "changed upstream u-0000": {"draining": "yes"}}
    )


def note_apply(_repeats: int) -> Figures:
    """Return the cost of applying a small note and indexing and digesting the catalog."""
    text = upstream_change_note()

    def cost(upstreams: int) -> float:
        catalog = create_catalog(upstreams)

        def work() -> None:
            applied = apply_note(catalog, parse_note(text))
            applied.digest()
            CatalogIndex(applied)

        return cpu_us(work, 10)

    return fit("us per note, by upstreams", UPSTREAMS, [cost(size) for size in UPSTREAMS])


def catalog_memory(_repeats: int) -> Figures:
    """Return the memory of a decoded catalog with its index."""

    def memory(upstreams: int) -> float:
        data = msgspec.msgpack.encode(create_catalog(upstreams))
        return held_bytes(lambda: CatalogIndex(msgspec.msgpack.decode(data, type=Catalog)))

    return fit("bytes held, by upstreams", UPSTREAMS, [memory(size) for size in UPSTREAMS])


def catalog_bytes(_repeats: int) -> Figures:
    """Return the size of an encoded catalog, as it is sent to an instance without one."""
    sizes = [float(len(msgspec.msgpack.encode(create_catalog(size)))) for size in UPSTREAMS]
    return fit("bytes on the wire, by upstreams", UPSTREAMS, sizes)

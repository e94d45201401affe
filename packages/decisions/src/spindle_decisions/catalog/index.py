"""Indexes over one catalog."""

from spindle_decisions.catalog.catalog import Catalog
from spindle_decisions.catalog.group import Group
from spindle_decisions.catalog.service import Service
from spindle_decisions.catalog.upstream import Upstream


class CatalogIndex:
    """Maps names to the items of one catalog; built once per version."""

    def __init__(self, catalog: Catalog) -> None:
        self.catalog = catalog
        self.groups: dict[str, Group] = {group.name: group for group in catalog.groups}
        self.services: dict[str, Service] = {item.name: item for item in catalog.services}
        self.upstreams: dict[str, Upstream] = {item.name: item for item in catalog.upstreams}
        self.by_group: dict[str, list[Service]] = {name: [] for name in self.groups}
        self.by_service: dict[str, list[Upstream]] = {name: [] for name in self.services}
        for service in catalog.services:
            self.by_group[service.group].append(service)
        for upstream in catalog.upstreams:
            self.by_service[upstream.service].append(upstream)

    def services_of(self, group: str, epoch: int) -> tuple[Service, ...]:
        """Return the services of a group that belong to a partition epoch."""
        return tuple(item for item in self.by_group[group] if item.in_epoch(epoch))

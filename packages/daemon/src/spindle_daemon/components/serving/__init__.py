"""The serving path: queries and requests from callers to upstreams."""

import gevent
from prometheus_client import REGISTRY, CollectorRegistry

from spindle_daemon.components.serving.coordinator import ServingCoordinator
from spindle_daemon.components.serving.metrics import create_metrics
from spindle_daemon.core.catalog_updated import CatalogUpdated
from spindle_daemon.core.live_instances_changed import LiveInstancesChanged
from spindle_daemon.core.platform_list_changed import PlatformListChanged
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.settings.const import POLICY_NAIVE
from spindle_decisions.serving.connection_shares import ConnectionShares
from spindle_decisions.serving.default_policy import DefaultPolicy, PolicyFeatures
from spindle_decisions.serving.naive_policy import NaivePolicy
from spindle_decisions.serving.serving_policy import ServingPolicy
from spindle_decisions.serving.upstream_pool import UpstreamPool


def setup(spindle: Spindle, registry: CollectorRegistry = REGISTRY) -> ServingCoordinator:
    """Set up serving: follow the catalog and the live instances, begin to probe."""
    board = UpstreamPool(_create_policy(spindle), _create_shares(spindle), spindle.rng)
    coordinator = ServingCoordinator(spindle, board, create_metrics(registry))
    spindle.bus.listen(CatalogUpdated, coordinator.take_catalog)
    spindle.bus.listen(LiveInstancesChanged, coordinator.take_live)
    spindle.bus.listen(PlatformListChanged, coordinator.take_platform_list)
    coordinator.take_catalog(CatalogUpdated(spindle.catalog.index))
    gevent.spawn(coordinator.keep_shares)
    return coordinator


def _create_shares(spindle: Spindle) -> ConnectionShares | None:
    serving = spindle.settings.serving
    if serving.policy == POLICY_NAIVE or not serving.shares:
        return None
    return ConnectionShares(spindle.settings.instance.name, spindle.clock.now())


def _create_policy(spindle: Spindle) -> ServingPolicy:
    serving = spindle.settings.serving
    if serving.policy == POLICY_NAIVE:
        return NaivePolicy()
    switches = PolicyFeatures(
        hedging=serving.hedging,
        retries=serving.retries,
        limits=serving.limits,
        ejection=serving.ejection,
    )
    return DefaultPolicy(spindle.settings.instance.data_center, switches)

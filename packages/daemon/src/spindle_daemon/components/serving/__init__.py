"""The serving path: runs the requests of callers on upstreams."""

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
    """Set up serving: subscribe to catalog, instance and list updates, and start probing."""
    pool = UpstreamPool(_create_policy(spindle), _create_shares(spindle), spindle.rng)
    coordinator = ServingCoordinator(spindle, pool, create_metrics(registry))
    spindle.bus.listen(CatalogUpdated, coordinator.update_catalog)
    spindle.bus.listen(LiveInstancesChanged, coordinator.update_live_instances)
    spindle.bus.listen(PlatformListChanged, coordinator.update_platform_list)
    coordinator.update_catalog(CatalogUpdated(spindle.catalog.index))
    gevent.spawn(coordinator.update_shares_forever)
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
    features = PolicyFeatures(
        hedging=serving.hedging,
        retries=serving.retries,
        limits=serving.limits,
        ejection=serving.ejection,
    )
    return DefaultPolicy(spindle.settings.instance.data_center, features)

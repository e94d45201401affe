"""Connects an entry instance to the control instances: heartbeats, catalog and proposals."""

import gevent

from spindle_daemon.components.control_link.catalog_fetcher import CatalogFetcher
from spindle_daemon.components.control_link.catalog_holder import CatalogCache
from spindle_daemon.components.control_link.catalog_sender import CatalogSender, no_note_texts
from spindle_daemon.components.control_link.coordinator import ControlLink
from spindle_daemon.components.control_link.proposal_client import ProposalClient
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.periodic import run_periodically
from spindle_decisions.wire.fetch_config import FetchConfig


def setup(spindle: Spindle) -> ControlLink:
    """Provide `spindle.catalog` and `spindle.control` on an entry instance."""
    advertise = spindle.settings.mesh.advertise
    catalog_cache = CatalogCache(spindle.clock, spindle.bus, spindle.timeline)
    fetcher = CatalogFetcher(spindle.clock, spindle.transport, advertise, catalog_cache)
    link = ControlLink(spindle, catalog_cache, fetcher)
    sender = CatalogSender(
        spindle.transport,
        lambda: catalog_cache.catalog,
        lambda: catalog_cache.digest,
        no_note_texts,
    )
    spindle.transport.register_handler(FetchConfig, sender.handle_fetch)
    spindle.catalog = catalog_cache
    spindle.control = ProposalClient(
        spindle.clock, spindle.transport, advertise, link.proposal_target
    )

    gevent.spawn(run_periodically, "link", link.heartbeat_interval_s, link.send_heartbeats)
    return link

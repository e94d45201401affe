"""The link of an instance to the control instances: heartbeats, catalog, proposals."""

import gevent

from spindle_daemon.components.control_link.catalog_fetcher import CatalogFetcher
from spindle_daemon.components.control_link.catalog_holder import CatalogHolder
from spindle_daemon.components.control_link.catalog_sender import CatalogSender, no_notes
from spindle_daemon.components.control_link.coordinator import ControlLink
from spindle_daemon.components.control_link.proposal_client import ProposalClient
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.periodic import run_periodically
from spindle_decisions.wire.fetch_config import FetchConfig


def setup(spindle: Spindle) -> ControlLink:
    """Provide `spindle.catalog` and `spindle.control` on an entry instance."""
    advertise = spindle.settings.mesh.advertise
    holder = CatalogHolder(spindle.clock, spindle.bus, spindle.timeline)
    fetcher = CatalogFetcher(spindle.clock, spindle.transport, advertise, holder)
    link = ControlLink(spindle, holder, fetcher)
    sender = CatalogSender(
        spindle.transport, lambda: holder.catalog, lambda: holder.digest, no_notes
    )
    spindle.transport.handle(FetchConfig, sender.handle_fetch)
    spindle.catalog = holder
    spindle.control = ProposalClient(spindle.clock, spindle.transport, advertise, link.target)

    gevent.spawn(run_periodically, "link", link.period_s, link.beat)
    return link

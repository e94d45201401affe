"""The account: entry instances count requests, control instances store minute summaries."""

from prometheus_client import REGISTRY

from spindle_daemon.components.account.const import PATH_SUMMARIES
from spindle_daemon.components.account.coordinator import AccountCoordinator
from spindle_daemon.components.account.entry_collector import EntryCollector
from spindle_daemon.components.account.store_collector import StoreCollector
from spindle_daemon.components.account.summary_sink import SummarySink
from spindle_daemon.components.account.summary_store import SummaryStore
from spindle_daemon.components.admin.admin_app import AdminApplication
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.json_response import json_ok
from spindle_decisions.wire.summary_ack import SummaryAck
from spindle_decisions.wire.summary_report import SummaryReport


def setup(spindle: Spindle) -> None:
    """Count the requests of this entry instance and report them to control.

    The stop hook sends all pending summaries. Hooks run in reverse order of their
    registration, so the account is set up before serving and stops after it.
    """
    account = AccountCoordinator(spindle)
    spindle.account = account
    spindle.transport.register_handler(SummaryAck, account.on_ack)
    spindle.add_stop_hook(account.stop)
    REGISTRY.register(EntryCollector(account.outbox))
    account.start()


def setup_control(spindle: Spindle, app: AdminApplication, sink: SummarySink) -> SummaryStore:
    """Store the summaries of the entry instances and answer `GET /v1/summaries`.

    Each summary is confirmed after `sink` has synced it to disk.
    """
    store = SummaryStore(spindle, sink)
    spindle.transport.register_handler(SummaryReport, store.on_report)
    app.route("GET", PATH_SUMMARIES, lambda request: json_ok(store.reply(request.query)))
    spindle.add_stop_hook(store.stop)
    REGISTRY.register(StoreCollector(store))
    store.start()
    return store

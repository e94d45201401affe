"""The account of a control instance: it keeps the minute summaries of the entries."""

from spindle_daemon.components.account.summary_sink import SummarySink
from spindle_daemon.components.account.summary_store import SummaryStore
from spindle_daemon.core.spindle import Spindle
from spindle_decisions.wire.summary_report import SummaryReport


def setup_control(spindle: Spindle, sink: SummarySink) -> SummaryStore:
    """Take in summaries, write them through `sink` and confirm them.

    The returned store answers `GET /v1/summaries`.
    """
    store = SummaryStore(spindle, sink)
    spindle.transport.handle(SummaryReport, store.on_report)
    spindle.on_stop(store.stop)
    store.start()
    return store

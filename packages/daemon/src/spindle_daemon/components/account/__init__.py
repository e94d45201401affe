"""The account of an entry instance: it counts requests and reports every minute."""

from spindle_daemon.components.account.coordinator import AccountCoordinator
from spindle_daemon.core.spindle import Spindle
from spindle_decisions.wire.summary_ack import SummaryAck


def setup(spindle: Spindle) -> None:
    """Count the requests of this instance and report them to the control instances.

    The stop hook hands over everything that is still held; set the account up
    after serving has registered its hook, so that it runs after serving ended.
    """
    account = AccountCoordinator(spindle)
    spindle.account = account
    spindle.transport.handle(SummaryAck, account.on_ack)
    spindle.on_stop(account.stop)
    account.start()

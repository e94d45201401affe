"""Termination of the process after a storage failure."""

import logging
import os
import signal

from spindle_decisions.exceptions import StorageError

_LOGGER = logging.getLogger(__name__)


def terminate_process(err: StorageError) -> None:
    """Log the error and kill the process at once.

    After a failed sync the contents of the disk are unknown: a retry could
    acknowledge data that was lost, and a graceful shutdown would write again.
    """
    _LOGGER.critical("storage: %s; the process stops", err)
    logging.shutdown()
    os.kill(os.getpid(), signal.SIGKILL)

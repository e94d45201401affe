"""The end of a process whose disk failed."""

import logging
import os
import signal

from spindle_decisions.exceptions import StorageError

_LOGGER = logging.getLogger(__name__)


def terminate_process(err: StorageError) -> None:
    """Log and end the process at once.

    After a failed sync nobody knows what the disk holds; a retry could
    acknowledge what was lost, and a planned stop would write again.
    """
    _LOGGER.critical("storage: %s; the process stops", err)
    logging.shutdown()
    os.kill(os.getpid(), signal.SIGKILL)

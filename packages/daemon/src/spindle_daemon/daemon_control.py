"""Setup of the role `control`."""

from spindle_daemon.components import account, control
from spindle_daemon.components.admin.admin_app import AdminApplication
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.storage.summary_files import create_summary_files

SUMMARY_DIR = "summaries"


def setup_control(spindle: Spindle, app: AdminApplication) -> None:
    """Start consensus, the operator API and the store of the account."""
    data_dir = spindle.settings.instance.data_dir
    assert data_dir is not None
    folder = control.setup(spindle, app)
    spindle.add_stop_hook(folder.close)
    account.setup_control(spindle, app, create_summary_files(data_dir / SUMMARY_DIR))

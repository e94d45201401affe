"""The HTTP endpoint for operators and monitoring in every process."""

from spindle_daemon.components.admin.admin_app import AdminApplication
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.http_server import create_http_server


def setup(spindle: Spindle, key: bytes) -> AdminApplication:
    """Start the admin endpoint; components add their routes to the returned application."""
    app = AdminApplication(spindle, key)
    server = create_http_server(spindle.settings.admin, app)
    server.start()
    return app

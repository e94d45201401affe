"""The HTTP endpoint for callers."""

from spindle_daemon.components.entry_http.application import Application
from spindle_daemon.components.entry_http.stop import EntryShutdown
from spindle_daemon.components.serving.coordinator import ServingCoordinator
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.http_limits import HttpLimits
from spindle_daemon.helpers.http_limits_handler import LimitsHandler
from spindle_daemon.helpers.http_server import create_http_server
from spindle_daemon.settings.entry_settings import EntrySettings
from spindle_decisions.exceptions import SettingsError
from spindle_decisions.util.units import MS_PER_S


def setup(spindle: Spindle, coordinator: ServingCoordinator) -> None:
    """Start the HTTP server for callers and register its graceful shutdown."""
    entry = spindle.settings.entry
    if entry is None:
        raise SettingsError("section [entry] is missing")
    application = Application(spindle, coordinator)
    server = create_http_server(entry.listen, application, LimitsHandler)
    server.limits = _limits(entry)
    server.start()
    spindle.add_stop_hook(EntryShutdown(spindle, coordinator, application, server).run)


def _limits(entry: EntrySettings) -> HttpLimits:
    return HttpLimits(
        max_body_bytes=entry.max_body_bytes,
        max_callers=entry.max_callers,
        header_timeout_s=entry.header_timeout_ms / MS_PER_S,
        body_timeout_s=entry.body_timeout_ms / MS_PER_S,
        idle_timeout_s=entry.idle_timeout_ms / MS_PER_S,
    )

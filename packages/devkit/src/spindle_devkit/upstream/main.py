"""The process that runs stand-in upstreams."""

import logging
import pathlib
import sys
from typing import Annotated

import typer
from gevent.pywsgi import WSGIServer

from spindle_decisions.exceptions import SettingsError
from spindle_devkit.no_delay_handler import NoDelayHandler
from spindle_devkit.serving_loop import check_loop, wait_for_stop
from spindle_devkit.upstream.control_application import ControlApplication
from spindle_devkit.upstream.load_settings import load_settings
from spindle_devkit.upstream.served_upstream import create_served_upstream

_LOGGER = logging.getLogger(__name__)

_EXIT_SETTINGS = 2


def run(config: Annotated[pathlib.Path, typer.Option(help="INI file of the stand-ins.")]) -> None:
    """Serve the stand-in upstreams of an INI file until SIGTERM."""
    logging.basicConfig(level=logging.INFO, stream=sys.stderr)
    try:
        settings = load_settings(config)
    except SettingsError as err:
        _LOGGER.error("standin: %s", err)
        raise typer.Exit(_EXIT_SETTINGS) from err
    check_loop()
    served = {item.name: create_served_upstream(item) for item in settings.upstreams}
    if settings.control is not None:
        address = (settings.control.host, settings.control.port)
        control = ControlApplication(served)
        WSGIServer(address, control, log=None, handler_class=NoDelayHandler).start()
    _LOGGER.info("standin: serving %s upstreams", len(served))
    wait_for_stop()
    for item in served.values():
        item.refuse()
    _LOGGER.info("standin: stopped")

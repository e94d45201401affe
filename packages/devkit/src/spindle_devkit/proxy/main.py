"""The process that runs the fault proxy."""

import logging
import pathlib
import sys
from typing import Annotated

import typer
from gevent.pywsgi import WSGIServer

from spindle_decisions.exceptions import SettingsError
from spindle_devkit.no_delay_handler import NoDelayHandler
from spindle_devkit.proxy.control_application import ControlApplication
from spindle_devkit.proxy.link import create_link
from spindle_devkit.proxy.load_settings import load_settings
from spindle_devkit.serving_loop import check_loop, wait_for_stop

_LOGGER = logging.getLogger(__name__)

_EXIT_SETTINGS = 2


def run(config: Annotated[pathlib.Path, typer.Option(help="INI file of the proxy.")]) -> None:
    """Forward the links of an INI file until SIGTERM."""
    logging.basicConfig(level=logging.INFO, stream=sys.stderr)
    try:
        settings = load_settings(config)
    except SettingsError as err:
        _LOGGER.error("proxy: %s", err)
        raise typer.Exit(_EXIT_SETTINGS) from err
    check_loop()
    links = {item.name: create_link(item) for item in settings.links}
    address = (settings.control.host, settings.control.port)
    application = ControlApplication(links)
    WSGIServer(address, application, log=None, handler_class=NoDelayHandler).start()
    _LOGGER.info("proxy: forwarding %s links", len(links))
    wait_for_stop()
    _LOGGER.info("proxy: stopped")

"""The HTTP control API of a stand-in process."""

import urllib.parse
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec

from spindle_devkit.upstream import const
from spindle_devkit.upstream.behavior_change import BehaviorChange
from spindle_devkit.upstream.configurable_upstream import ConfigurableUpstream
from spindle_devkit.upstream.executions_report import ExecutionsReport
from spindle_devkit.upstream.refusal import Refusal

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class ControlApplication:
    """Changes the behaviour of stand-in upstreams and reports their executions."""

    def __init__(self, served: Mapping[str, ConfigurableUpstream]) -> None:
        self.served = served

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Answer one request of a test or an experiment."""
        try:
            body = self._answer(environ)
        except (msgspec.DecodeError, KeyError) as err:
            start("400 Bad Request", [("Content-Type", "application/json")])
            return [msgspec.json.encode(Refusal("bad-request", str(err)))]
        start("200 OK", [("Content-Type", "application/json")])
        return [body]

    def _answer(self, environ: dict[str, Any]) -> bytes:
        path = environ["PATH_INFO"]
        if path == const.PATH_STANDIN:
            self._change(environ["wsgi.input"].read())
            return b"{}"
        if path == const.PATH_EXECUTIONS:
            query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
            return msgspec.json.encode(self._report(query.get("upstream", [""])[0]))
        raise KeyError(f"unknown path {path}")

    def _change(self, body: bytes) -> None:
        change = msgspec.json.decode(body, type=BehaviorChange)
        for served in self._selected(change.upstream):
            served.apply(change)

    def _report(self, name: str) -> ExecutionsReport:
        selected = [served.upstream for served in self._selected(name)]
        executions = [item for upstream in selected for item in upstream.executions]
        executions.sort(key=lambda item: item.arrived_ms)
        counters = {upstream.settings.name: upstream.counters for upstream in selected}
        return ExecutionsReport(counters, executions)

    def _selected(self, name: str) -> list[ConfigurableUpstream]:
        return [self.served[name]] if name else list(self.served.values())

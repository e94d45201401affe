"""A client of the control API of a stand-in process."""

import msgspec
from geventhttpclient import HTTPClient

from bench.ports import LOOPBACK
from spindle_devkit.upstream import const
from spindle_devkit.upstream.behavior_change import BehaviorChange
from spindle_devkit.upstream.counters import Counters
from spindle_devkit.upstream.executions_report import ExecutionsReport

_TIMEOUT_S = 20.0
_ENCODER = msgspec.json.Encoder()


class StandinClient:
    """Changes stand-in upstreams and reads their counters and executions."""

    def __init__(self, port: int) -> None:
        self.client = HTTPClient(
            LOOPBACK, port, connection_timeout=_TIMEOUT_S, network_timeout=_TIMEOUT_S
        )

    def change(self, change: BehaviorChange) -> None:
        """Change one or all upstreams of the process; raises `OSError` if it refuses."""
        response = self.client.post(const.PATH_STANDIN, body=_ENCODER.encode(change))
        data = response.read()
        if response.status_code != 200:
            raise OSError(
                f"stand-in refused {change} with status {response.status_code}: {bytes(data)!r}"
            )

    def report(self, upstream: str = "") -> ExecutionsReport:
        """Return the counters and the newest executions of one or all upstreams."""
        suffix = f"?upstream={upstream}" if upstream else ""
        response = self.client.get(const.PATH_EXECUTIONS + suffix)
        return msgspec.json.decode(bytes(response.read()), type=ExecutionsReport)

    def counters(self) -> dict[str, Counters]:
        """Return the counters by upstream name."""
        return self.report().counters

    def close(self) -> None:
        """Close the connection."""
        self.client.close()

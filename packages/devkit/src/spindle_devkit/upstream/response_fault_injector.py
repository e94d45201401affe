"""Injects faults into the responses of a stand-in upstream."""

import dataclasses

import gevent

from spindle_devkit.upstream.standin_upstream import StandinUpstream
from spindle_devkit.upstream.upstream_response import UpstreamResponse

WRONG_REQUEST_ID = "not-the-id-you-sent"


class ResponseFaultInjector:
    """Delays, swaps, truncates or sets a wrong request id on the requested number of responses."""

    def __init__(self, upstream: StandinUpstream) -> None:
        self.upstream = upstream

    def inject(self, response: UpstreamResponse) -> UpstreamResponse:
        """Return the response to send: the given one, or one with the due faults."""
        behavior = self.upstream.behavior
        if behavior.late_next > 0:
            behavior.late_next -= 1
            gevent.sleep(behavior.late_s)
        if behavior.swap_next > 0:
            behavior.swap_next -= 1
            response = self.upstream.response_swapper.exchange(response)
        if behavior.wrong_id_next > 0:
            behavior.wrong_id_next -= 1
            response = dataclasses.replace(response, request_id=WRONG_REQUEST_ID)
        if behavior.truncate_next > 0:
            behavior.truncate_next -= 1
            response = dataclasses.replace(response, truncated=True)
        return response

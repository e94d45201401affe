"""A typed HTTP answer for WSGI applications."""

import dataclasses
import http
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from spindle_decisions.exceptions import SpindleError
from spindle_decisions.wire.headers import HEADER_CODE

CONTENT_TYPE_JSON = "application/json"


@dataclasses.dataclass(frozen=True)
class ErrorBody:
    """The body of every refusal."""

    code: str
    text: str
    request_id: str = ""


@dataclasses.dataclass(frozen=True)
class JsonResponse:
    """Status, extra headers and body of an answer."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = CONTENT_TYPE_JSON

    def send(self, start_response: Callable[..., Any]) -> Iterable[bytes]:
        """Answer a WSGI request."""
        status = http.HTTPStatus(self.status)
        headers = [
            ("Content-Type", self.content_type),
            ("Content-Length", str(len(self.body))),
            *self.headers,
        ]
        start_response(f"{status.value} {status.phrase}", headers)
        return [self.body]


def json_ok(value: object) -> JsonResponse:
    """Return an answer with a value that msgspec can encode."""
    return JsonResponse(200, msgspec.json.encode(value))


def json_error(error: SpindleError, request_id: str = "") -> JsonResponse:
    """Return a refusal with the HTTP status, code and text of an error."""
    body = msgspec.json.encode(ErrorBody(error.code, str(error), request_id))
    return JsonResponse(error.http_status, body, ((HEADER_CODE, error.code),))

"""HTTP protocol of the plan endpoint."""

import logging
from collections.abc import Callable, Iterable
from typing import Any

from spindle_daemon.components.plan_api.plan_desk import PlanManager
from spindle_daemon.core.platform_adapter import Paths
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.http_limits_handler import ENVIRON_HANDLER, LimitsHandler
from spindle_daemon.helpers.json_response import JsonResponse, json_error
from spindle_decisions.exceptions import BadRequestError, PlanError, SpindleError

_LOGGER = logging.getLogger(__name__)

STATUS_UNAVAILABLE = 503
EMPTY_JSON = b"{}"


class PlanApplication:
    """Handles the requests to replace and to read the plan; any other is a bad request."""

    def __init__(self, spindle: Spindle, manager: PlanManager, paths: Paths) -> None:
        self.spindle = spindle
        self.manager = manager
        self.paths = paths

    def __call__(self, environ: dict[str, Any], start: Callable[..., Any]) -> Iterable[bytes]:
        """Handle one request."""
        handler: LimitsHandler = environ[ENVIRON_HANDLER]
        call = f"{environ['REQUEST_METHOD']} {environ['PATH_INFO']}"
        try:
            response = self._answer(call, handler)
        except (PlanError, BadRequestError) as err:
            _LOGGER.warning(
                "plans: request refused: %s", str(err)[:200], extra={"event": "plan-refused"}
            )
            response = json_error(err)
        except SpindleError as err:
            _LOGGER.warning(
                "plans: not committed: %s",
                err,
                extra={"event": "plan-not-agreed", "call": call[:80]},
            )
            response = JsonResponse(STATUS_UNAVAILABLE, json_error(err).body)
        except Exception:
            _LOGGER.exception("plans: request failed")
            response = json_error(SpindleError("internal error"))
        return response.send(start)

    def _answer(self, call: str, handler: LimitsHandler) -> JsonResponse:
        body = handler.read_body()
        if call == self.paths.replace_plan:
            self.manager.replace(body)
            return JsonResponse(200, EMPTY_JSON)
        if call == self.paths.read_plan:
            return JsonResponse(200, self.manager.read())
        raise BadRequestError(f"no such endpoint: {call}")

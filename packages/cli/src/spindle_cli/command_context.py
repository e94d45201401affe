"""The context that all commands share."""

import dataclasses

from spindle_cli.http_client import SignedClient
from spindle_cli.operator_api import OperatorApi
from spindle_cli.settings import CliSettings
from spindle_decisions.exceptions import SettingsError


@dataclasses.dataclass(frozen=True)
class CommandContext:
    """Settings of this invocation and access to the operator API."""

    settings: CliSettings

    def api(self) -> OperatorApi:
        """Return the operator API; raise `SettingsError` without a usable key."""
        return OperatorApi(SignedClient(self._key()), self.settings.controls)

    def _key(self) -> bytes:
        path = self.settings.key_file
        if path is None:
            raise SettingsError("no key given; use --key-file, or key-file in the file of --config")
        try:
            key = path.read_bytes().strip()
        except OSError as err:
            raise SettingsError(f"key file {path} cannot be read: {err}") from err
        if not key:
            raise SettingsError(f"key file {path} is empty")
        return key

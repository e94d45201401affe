"""The bus event of a changed settings file."""

import dataclasses

from spindle_daemon.settings.settings import Settings


@dataclasses.dataclass(frozen=True)
class SettingsReloaded:
    """The settings file was read again and is good."""

    settings: Settings

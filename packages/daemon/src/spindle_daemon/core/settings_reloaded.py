"""Bus event: the settings changed."""

import dataclasses

from spindle_daemon.settings.settings import Settings


@dataclasses.dataclass(frozen=True)
class SettingsReloaded:
    """Fired when the settings file was reloaded with valid, changed settings."""

    settings: Settings

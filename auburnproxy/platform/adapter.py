"""The deployment of a gateway daemon on the platform."""

from __future__ import annotations

import os
from pathlib import Path

from ..daemon.deployment import Deployment, DomainMark, GatewaySettings
from ..formation import EngineCommands
from ..gateway.header_codec import HeaderCodec
from ..gateway.host import Host
from ..gateway.route import Configuration
from ..store import Change, Store
from .engine_commands import PlatformEngineCommands
from .headers import PlatformHeaderCodec
from .operator_records import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    read_configuration,
)
from .registrations import HEARTBEAT_SEQUENCE, read_registration
from .settings import SETTINGS_VARIABLE, read_settings
from .store import PlatformStore


class PlatformAdapter(Deployment):
    """Translates between the platform's formats and a gateway daemon.

    :param path: the settings file
    """

    operator_topic = "op"
    upstream_topic = "servers"

    def __init__(self, path: Path) -> None:
        self._path = path

    def settings(self) -> GatewaySettings:
        """Read the settings file again and return the current settings.

        :raises DocumentError: with every finding
        """
        return read_settings(self._path)

    def store(self, settings: GatewaySettings) -> Store:
        """Return the platform's log service."""
        return PlatformStore(settings.store)

    def header_codec(self) -> HeaderCodec:
        """Return the codec of the deployment's headers."""
        return PlatformHeaderCodec()

    def engine_commands(self) -> EngineCommands:
        """Return the client for the engines' command protocol."""
        return PlatformEngineCommands()

    def read_operator_record(self, change: Change) -> Configuration | DomainMark | None:
        """Decode an operator's record; return None if it does not concern daemons.

        :raises PlatformError: if it cannot be read
        """
        if change.key.startswith(EVACUATION_PREFIX):
            zone = change.key.removeprefix(EVACUATION_PREFIX)
            return DomainMark(zone, out=bool(change.value))
        if change.key == CONFIGURATION_KEY and change.value:
            return read_configuration(change.value)
        return None

    def significant_part(self, registration: bytes) -> bytes:
        """Return a registration without its heartbeat sequence number.

        The rest only differs if the registration has changed.
        """
        return HEARTBEAT_SEQUENCE.sub(b"", registration)

    def read_upstream_record(self, change: Change, *, now: float) -> Host:
        """Decode the registration of a host.

        :raises PlatformError: if the record describes no usable host
        """
        return read_registration(change.key, change.value, now=now)


def adapter() -> PlatformAdapter:
    """Return the adapter for the settings file named by the environment variable."""
    return PlatformAdapter(Path(os.environ[SETTINGS_VARIABLE]))

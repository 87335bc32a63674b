"""The platform's side of a gateway daemon."""

from __future__ import annotations

import os
from pathlib import Path

from ..daemon.deployment import Deployment, DomainMark, GatewaySettings
from ..formation import EngineCommands
from ..gateway.header_codec import HeaderCodec
from ..gateway.host import Host
from ..gateway.route import Configuration
from ..store import Change, Store
from .engine_orders import PlatformOrders
from .headers import PlatformHeaderCodec
from .operator_records import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    read_configuration,
)
from .registrations import COUNTER, read_registration
from .settings import SETTINGS_VARIABLE, read_settings
from .store import PlatformStore


class PlatformAdapter(Deployment):
    """Translates between the platform and a gateway daemon.

    :param path: the settings file
    """

    operator_topic = "op"
    upstream_topic = "servers"

    def __init__(self, path: Path) -> None:
        self._path = path

    def settings(self) -> GatewaySettings:
        """Return the settings as they are now.

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
        """Return the engines' order dialect."""
        return PlatformOrders()

    def read_operator_record(self, change: Change) -> Configuration | DomainMark | None:
        """Return what an operator's record says, None if it is not for daemons.

        :raises PlatformError: if it cannot be read
        """
        if change.key.startswith(EVACUATION_PREFIX):
            zone = change.key.removeprefix(EVACUATION_PREFIX)
            return DomainMark(zone, out=bool(change.value))
        if change.key == CONFIGURATION_KEY and change.value:
            return read_configuration(change.value)
        return None

    def significant_part(self, registration: bytes) -> bytes:
        """Return a registration without what changes each time that it is written."""
        return COUNTER.sub(b"", registration)

    def read_upstream_record(self, change: Change, *, now: float) -> Host:
        """Return a host as it registered.

        :raises PlatformError: if the record names no host to use
        """
        return read_registration(change.key, change.value, now=now)


def adapter() -> PlatformAdapter:
    """Return the adapter for the settings file that the environment names."""
    return PlatformAdapter(Path(os.environ[SETTINGS_VARIABLE]))

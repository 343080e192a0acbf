"""The settings file of an instance that serves routed calls."""

from __future__ import annotations

__all__ = [
    "GatewayBounds",
    "GatewaySettings",
    "SettingsFile",
    "load_gateway_settings",
    "parse_gateway_settings",
]

from pathlib import Path
from typing import Annotated, NamedTuple

from pydantic import ConfigDict, Field, TypeAdapter

from ashpond.checking import AddressText, Seconds, check_table, load_toml
from ashpond.errors import InputProblem, SettingsError

Milliseconds = Annotated[float, Field(ge=0, le=86_400_000)]


class GatewayBounds(NamedTuple):
    """Bounds that the operators state; what each one limits stands beside it."""

    # From a key's removal until no request with it may run.
    revocation_ms: Milliseconds = 5000
    # From SIGTERM until the process is killed.
    grace_s: Seconds = 8.0
    # Repeated sends to a service, as a share of its requests, and besides.
    retry_share: Annotated[float, Field(ge=0, le=10)] = 0.2
    retry_slack: Annotated[float, Field(ge=0)] = 50
    retry_window_s: Seconds = 10.0
    # From a weight target until no request may begin on older weights.
    weights_ms: Milliseconds = 10_000
    # Orders of two lease holders must be at least this far apart.
    lease_ms: Milliseconds = 3000


class GatewaySettings(NamedTuple):
    """Everything that one instance is told; addresses are ``IP:PORT``."""

    name: Annotated[str, Field(min_length=1, max_length=100)]
    failure_domain: Annotated[str, Field(min_length=1, max_length=100)]
    callers_address: AddressText
    readiness_address: AddressText
    peers_address: AddressText
    metrics_address: AddressText
    store_address: AddressText
    bounds: GatewayBounds = GatewayBounds()


SETTINGS_ADAPTER = TypeAdapter(GatewaySettings, config=ConfigDict(strict=False))


class SettingsFile:
    """The settings in force, and the file that they come from."""

    def __init__(self, path: str, current: GatewaySettings | None = None):
        self.path = path
        self.current = current or load_gateway_settings(path)

    def reload(self) -> bool:
        """Read the file again; return whether anything has changed.

        :raises SettingsError: if it holds faults; the settings stay as they were.
        """
        loaded = load_gateway_settings(self.path)
        has_changed = loaded != self.current
        self.current = loaded
        return has_changed


def load_gateway_settings(path: str) -> GatewaySettings:
    """Read and check the settings file at ``path``.

    :raises SettingsError: if it cannot be read or holds faults.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([InputProblem(path, "(file)", "", str(error))]) from error
    return parse_gateway_settings(path, text)


def parse_gateway_settings(name: str, text: str) -> GatewaySettings:
    """Return the checked settings.

    :raises SettingsError: naming file, key, value and reason of each fault.
    """
    table, problems = load_toml(name, text)
    if not problems:
        settings, problems = check_table(name, SETTINGS_ADAPTER, table)
    if problems:
        raise SettingsError(problems)
    return settings

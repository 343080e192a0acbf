"""The settings file of one instance: addresses, failure domain, limits, logs."""

from __future__ import annotations

__all__ = ["Settings", "load_settings", "parse_settings"]

from pathlib import Path
from typing import Annotated, Literal, NamedTuple

from pydantic import ConfigDict, Field, TypeAdapter

from ashpond.checking import AddressText, Seconds, check_table
from ashpond.errors import InputProblem, SettingsError
from ashpond.tables import load_toml

MIN_SECRET_LENGTH = 16


Secret = Annotated[str, Field(min_length=MIN_SECRET_LENGTH)]


class LimitSettings(NamedTuple):
    """Limits on the resources that requests and peers may use at an instance."""

    max_body_bytes: Annotated[int, Field(ge=1024, le=1 << 30)] = 4 << 20
    max_queue: Annotated[int, Field(ge=1, le=1_000_000)] = 512
    max_frame_bytes: Annotated[int, Field(ge=4096, le=1 << 28)] = 1 << 20


class LogSettings(NamedTuple):
    """The lowest level of log records that are written."""

    level: Literal["debug", "info", "notice", "warning", "error"] = "info"


class TimingSettings(NamedTuple):
    """Periods and time limits, in seconds."""

    configuration_poll: Seconds = 1.0
    members_poll: Seconds = 1.0
    load_poll: Seconds = 1.0
    gossip: Seconds = 0.5
    platform_timeout: Seconds = 2.0
    connect_timeout: Seconds = 1.0
    drain_notice: Seconds = 1.0
    drain_limit: Seconds = 600.0


class Settings(NamedTuple):
    """The settings with which an instance is started.

    Addresses are IP addresses with a port. ``peers`` may list the peer addresses of
    other instances, for a start while the platform's instance list is unavailable.
    """

    name: Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
    failure_domain: Annotated[str, Field(min_length=1, max_length=63)]
    callers_address: AddressText
    admin_address: AddressText
    peers_address: AddressText
    platform_address: AddressText
    admin_token: Secret
    peer_secret: Secret
    cache_event_sample: Annotated[int, Field(ge=1, le=4096)] = 1
    peers: list[AddressText] = []
    limits: LimitSettings = LimitSettings()
    logs: LogSettings = LogSettings()
    timing: TimingSettings = TimingSettings()
    policy: Literal["ashpond", "round-robin", "least-load", "hashing"] = "ashpond"


SETTINGS_ADAPTER = TypeAdapter(Settings, config=ConfigDict(strict=True))


def parse_settings(name: str, text: str) -> Settings:
    """Return the checked settings.

    :raises SettingsError: naming file, key, value and reason of each fault.
    """
    table, problems = load_toml(name, text)
    if problems:
        raise SettingsError(problems)
    settings, problems = check_table(name, SETTINGS_ADAPTER, table)
    if problems:
        raise SettingsError(problems)
    return settings


def load_settings(path: str) -> Settings:
    """Read and check the settings file at ``path``.

    :raises SettingsError: if it cannot be read or holds faults.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([InputProblem(path, "(file)", "", str(error))]) from error
    return parse_settings(path, text)

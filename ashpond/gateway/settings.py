"""The settings file of an instance that serves routed calls."""

from __future__ import annotations

__all__ = [
    "GatewayBounds",
    "GatewaySettings",
    "SettingsFile",
    "load_gateway_settings",
    "parse_gateway_settings",
]

import re
from pathlib import Path
from typing import Annotated, Any, NamedTuple, Required, TypedDict

import msgspec
from msgspec import Meta

from ashpond.decisions.allowances import AllowanceBounds
from ashpond.decisions.fleetlinks import MAX_MESH_MEMBERS
from ashpond.errors import InputProblem, SettingsError
from ashpond.tables import MAX_SHOWN, load_toml

# ``msgspec`` and not ``pydantic``, whose import takes a quarter of the start: after
# the loss of all instances nothing is served until one has started.
Address = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Name = Annotated[str, Meta(min_length=1, max_length=100)]
Milliseconds = Annotated[float, Meta(ge=0, le=86_400_000)]
Seconds = Annotated[float, Meta(gt=0, le=86_400)]
ERROR_PATTERN = re.compile(r"^(?P<reason>.*?)(?: - at `\$\.?(?P<key>.*)`)?$")
MISSING_PATTERN = re.compile(r"Object missing required field `(?P<key>.*)`")


class GatewayBounds(NamedTuple):
    """Bounds that the operators state; what each one limits stands beside it."""

    # From a key's removal until no request with it may run.
    revocation_ms: float = 5000
    # From SIGTERM until the process is killed.
    grace_s: float = 8.0
    # Repeated sends to a service, as a share of its requests, and besides.
    retry_share: float = 0.2
    retry_slack: float = 50
    retry_window_s: float = 10.0
    # From a weight target until no request may begin on older weights.
    weights_ms: float = 10_000
    # Orders of two lease holders must be at least this far apart.
    lease_ms: float = 3000
    # From the end of a server until it no longer counts against the requests that were
    # in flight there; who has ended three is sent no more for so long.
    quarantine_s: float = 600.0
    # In each window of this length a team may use what its limit allows, this share of
    # it more, and this much besides, in the limit's unit.
    allowance_window_s: float = 8.0
    allowance_overage: float = 0.0
    allowance_slack: float = 0.0

    @property
    def allowances(self) -> AllowanceBounds:
        """How exactly the teams' limits are to be kept."""
        return AllowanceBounds(
            self.allowance_window_s, self.allowance_overage, self.allowance_slack
        )


class GatewaySettings(NamedTuple):
    """Everything that one instance is told; addresses are ``IP:PORT``.

    Up to ``mesh_limit`` instances each tells its news to all others, among more in
    groups with hubs; all instances must have the same limit.
    """

    name: str
    failure_domain: str
    callers_address: str
    readiness_address: str
    peers_address: str
    metrics_address: str
    store_address: str
    bounds: GatewayBounds = GatewayBounds()
    mesh_limit: int = MAX_MESH_MEMBERS
    link_mbps: float = 0.0


class BoundsTable(TypedDict, total=False):
    """The bounds as the file may hold them."""

    revocation_ms: Milliseconds
    grace_s: Seconds
    retry_share: Annotated[float, Meta(ge=0, le=10)]
    retry_slack: Annotated[float, Meta(ge=0)]
    retry_window_s: Seconds
    weights_ms: Milliseconds
    lease_ms: Milliseconds
    quarantine_s: Seconds
    allowance_window_s: Seconds
    allowance_overage: Annotated[float, Meta(ge=0, le=10)]
    allowance_slack: Annotated[float, Meta(ge=0)]


class SettingsTable(TypedDict, total=False):
    """The settings as the file has to hold them."""

    name: Required[Name]
    failure_domain: Required[Name]
    callers_address: Required[Address]
    readiness_address: Required[Address]
    peers_address: Required[Address]
    metrics_address: Required[Address]
    store_address: Required[Address]
    bounds: BoundsTable
    mesh_limit: Annotated[int, Meta(ge=1, le=1000)]
    link_mbps: Annotated[float, Meta(ge=0)]


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

    :raises SettingsError: naming file, key, value and reason of the first fault.
    """
    table, problems = load_toml(name, text)
    problems = problems or _find_unknown_keys(name, table)
    if problems:
        raise SettingsError(problems)
    try:
        checked = msgspec.convert(table, SettingsTable)
    except msgspec.ValidationError as error:
        raise SettingsError([_make_problem(name, table, str(error))]) from error
    bounds = GatewayBounds(**checked.get("bounds", {}))
    return GatewaySettings(**(checked | {"bounds": bounds}))  # type: ignore[arg-type]


def _find_unknown_keys(name: str, table: dict[str, Any]) -> list[InputProblem]:
    unknown = [key for key in table if key not in GatewaySettings._fields]
    bounds = table.get("bounds", {})
    if isinstance(bounds, dict):
        unknown += [f"bounds.{k}" for k in bounds if k not in GatewayBounds._fields]
    return [InputProblem(name, key, "", "unknown key") for key in unknown]


def _make_problem(name: str, table: dict[str, Any], error_text: str) -> InputProblem:
    missing = MISSING_PATTERN.match(error_text)
    if missing:
        return InputProblem(name, missing["key"], "", "this key is required")
    found = ERROR_PATTERN.match(error_text)
    key = (found["key"] if found else "") or "(file)"
    value: Any = table
    for part in key.split("."):
        value = value.get(part, "") if isinstance(value, dict) else ""
    reason = found["reason"] if found else error_text
    return InputProblem(name, key, repr(value)[:MAX_SHOWN], reason)

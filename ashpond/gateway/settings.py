"""The settings file of a gateway instance."""

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
from ashpond.tables import MAX_SHOWN_CHARACTERS, load_toml

# ``msgspec`` is used, as importing ``pydantic`` takes a quarter of the start time, and
# after the loss of all instances no call is served until one has started.
Address = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}\Z")]
Name = Annotated[str, Meta(min_length=1, max_length=100)]
Milliseconds = Annotated[float, Meta(ge=0, le=86_400_000)]
Seconds = Annotated[float, Meta(gt=0, le=86_400)]
ERROR_PATTERN = re.compile(r"^(?P<reason>.*?)(?: - at `\$\.?(?P<key>.*)`)?$")
MISSING_PATTERN = re.compile(r"Object missing required field `(?P<key>.*)`")


class GatewayBounds(NamedTuple):
    """Bounds set by the operators, in seconds (``_s``) or milliseconds (``_ms``)."""

    # Maximum time from the removal of a key until no request with it may run.
    revocation_ms: float = 5000
    # Time between SIGTERM and SIGKILL.
    grace_s: float = 8.0
    # In each retry window, a service may get this share of its requests as retries,
    # and retry_slack retries more.
    retry_share: float = 0.2
    retry_slack: float = 50
    retry_window_s: float = 10.0
    # Maximum time from a weight target until no request may start on older weights.
    weights_ms: float = 10_000
    # Minimum time between orders of two successive lease holders.
    lease_ms: float = 3000
    # How long a server crash counts against the requests that were in flight there.
    # A request that has crashed three servers is refused for this time.
    quarantine_s: float = 600.0
    # In each window of this length a team may use what its limit allows, plus
    # allowance_overage as a share of it, plus allowance_slack in the limit's unit.
    allowance_window_s: float = 8.0
    allowance_overage: float = 0.0
    allowance_slack: float = 0.0

    @property
    def allowances(self) -> AllowanceBounds:
        """The bounds on how far a team may exceed its limit."""
        return AllowanceBounds(
            self.allowance_window_s, self.allowance_overage, self.allowance_slack
        )


class GatewaySettings(NamedTuple):
    """The settings of one instance; addresses are ``IP:PORT``.

    Up to ``mesh_limit`` instances each send their updates to all others. More instances
    form groups with hubs. All instances must have the same limit.

    From ``coordinated_from`` instances on, coordinators choose the servers of requests;
    0 means never. All instances should have the same value.
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
    coordinated_from: int = 2
    # Memory limit of the process in MB; 0 for none. A change takes effect on restart.
    memory_mb: float = 0.0
    # Whether no instance of this fleet has served before this one starts.
    first_start: bool = False


class BoundsTable(TypedDict, total=False):
    """The schema of the bounds in the settings file; every key is optional."""

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
    """The schema of the settings file."""

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
    coordinated_from: Annotated[int, Meta(ge=0, le=1000)]
    memory_mb: Annotated[float, Meta(ge=0)]
    first_start: bool


class SettingsFile:
    """The current settings, and the file that they are read from."""

    def __init__(self, path: str, current: GatewaySettings | None = None):
        self.path = path
        self.current = current or load_gateway_settings(path)

    def reload(self) -> bool:
        """Read the file again; return whether anything has changed.

        :raises SettingsError: if the file is invalid; the settings stay as they were.
        """
        loaded = load_gateway_settings(self.path)
        # It concerns the start of this process; a change resets nothing.
        loaded = loaded._replace(first_start=self.current.first_start)
        has_changed = loaded != self.current
        self.current = loaded
        return has_changed


def load_gateway_settings(path: str) -> GatewaySettings:
    """Read and check the settings file at ``path``.

    :raises SettingsError: if the file cannot be read or is invalid.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([InputProblem(path, "(file)", "", str(error))]) from error
    return parse_gateway_settings(path, text)


def parse_gateway_settings(name: str, text: str) -> GatewaySettings:
    """Return the checked settings.

    :raises SettingsError: with file, key, value and reason of each unknown key, or of
        the first invalid value.
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
    return InputProblem(name, key, repr(value)[:MAX_SHOWN_CHARACTERS], reason)

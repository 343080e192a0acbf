"""The declared configuration: priorities, teams, services, backend servers.

The declaration is a set of named TOML files. Each table entry lives in exactly
one file; references may cross files and are checked over the whole set.
"""

from __future__ import annotations

__all__ = [
    "BackendServerConfig",
    "Configuration",
    "Objective",
    "PriorityConfig",
    "ServiceConfig",
    "TeamConfig",
    "digest_text",
    "hash_key",
    "parse_configuration",
]

import hashlib
from collections.abc import Mapping
from typing import Annotated, Any, Literal, NamedTuple

from pydantic import ConfigDict, Field, TypeAdapter

from ashpond.checking import AddressText, Seconds, check_table
from ashpond.errors import ConfigError, InputProblem
from ashpond.tables import load_toml

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
KeyHash = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
Share = Annotated[float, Field(ge=0, le=1)]


class PriorityConfig(NamedTuple):
    """A priority class; requests of a lower ``rank`` are served first.

    ``min_share`` is the share of service time that the class keeps even if more
    urgent requests could use all of it.
    """

    rank: Annotated[int, Field(ge=0, le=99)]
    min_share: Share = 0.0


class TeamConfig(NamedTuple):
    """A team of clients, with its limits and the services that it may use.

    ``key_hashes`` are SHA-256 digests of its bearer keys, in hexadecimal.
    ``requests_per_second`` counts over all instances; 0 means no limit.
    """

    key_hashes: Annotated[list[KeyHash], Field(min_length=1)]
    services: list[Name]
    priorities: Annotated[list[Name], Field(min_length=1)]
    default_priority: Name = ""
    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0
    requests_per_second: Annotated[float, Field(ge=0)] = 0.0
    burst_seconds: Seconds = 2.0


class Objective(NamedTuple):
    """A service-level objective over all requests of a service.

    ``first_token_seconds`` bounds the time to the first token (or to the whole
    answer of a plain service); ``first_token_share`` is the share that must
    meet it; ``answered_share`` the share that must be answered at all.
    """

    first_token_seconds: Seconds = 1.0
    first_token_share: Annotated[float, Field(gt=0, lt=1)] = 0.95
    answered_share: Annotated[float, Field(gt=0, lt=1)] = 0.999


class ServiceConfig(NamedTuple):
    """A model service or a plain service.

    ``deadline_seconds`` bounds the wait until a request starts, unless the client
    asks for less. ``exact_resume`` means that any engine can continue a stream of
    this service from a given event number with exactly the same events.
    """

    kind: Literal["model", "plain"]
    model: str = ""
    weights: str = ""
    deadline_seconds: Seconds = 10.0
    answer_seconds: Seconds = 120.0
    repeatable: bool = True
    exact_resume: bool = False
    max_attempts: Annotated[int, Field(ge=1, le=10)] = 3
    retry_share: Share = 0.1
    concurrency_per_server: Annotated[int, Field(ge=1, le=10_000)] = 8
    claim_retention_seconds: Seconds = 3600.0
    objective: Objective = Objective()


class BackendServerConfig(NamedTuple):
    """One engine or plain server that takes requests of a service.

    A ``standby`` server gets no requests. ``checks_fencing`` informs operators
    whether the server refuses orders with an old fencing number. Orders are also
    protected by a lease, which covers the servers that do not check.
    """

    service: Name
    address: AddressText
    failure_domain: Annotated[str, Field(min_length=1, max_length=63)]
    role: Literal["serve", "standby"] = "serve"
    checks_fencing: bool = False


class _FileTables(NamedTuple):
    priorities: dict[Name, PriorityConfig] = {}
    teams: dict[Name, TeamConfig] = {}
    services: dict[Name, ServiceConfig] = {}
    backend_servers: dict[Name, BackendServerConfig] = {}


class Configuration(NamedTuple):
    """The merged and checked contents of all files."""

    priorities: dict[str, PriorityConfig]
    teams: dict[str, TeamConfig]
    services: dict[str, ServiceConfig]
    backend_servers: dict[str, BackendServerConfig]


FILE_ADAPTER = TypeAdapter(_FileTables, config=ConfigDict(strict=True))
SECTIONS = _FileTables._fields
EMPTY_CONFIGURATION = Configuration({}, {}, {}, {})


def hash_key(key: str) -> str:
    """Return the SHA-256 digest by which a bearer key is declared."""
    return hashlib.sha256(key.encode()).hexdigest()


def digest_text(text: str) -> str:
    """Return the SHA-256 digest that identifies a file's contents."""
    return hashlib.sha256(text.encode()).hexdigest()


def parse_configuration(files: Mapping[str, str]) -> Configuration:
    """Return the checked declaration of all ``files`` (name to TOML text).

    :raises ConfigError: naming file, key, value and reason of each fault.
    """
    merged: dict[str, dict[str, Any]] = {section: {} for section in SECTIONS}
    origins: dict[tuple[str, str], str] = {}
    problems: list[InputProblem] = []
    for name, text in sorted(files.items()):
        tables, found = _parse_file(name, text)
        problems.extend(found)
        if tables is not None:
            problems.extend(_merge_tables(name, tables, merged, origins))
    configuration = Configuration(**merged)
    if not problems:
        problems = _check_references(configuration, origins)
    if problems:
        raise ConfigError(problems)
    return configuration


def _parse_file(name: str, text: str) -> tuple[Any, list[InputProblem]]:
    table, problems = load_toml(name, text)
    if problems:
        return None, problems
    return check_table(name, FILE_ADAPTER, table)


def _merge_tables(
    name: str,
    tables: _FileTables,
    merged: dict[str, dict[str, Any]],
    origins: dict[tuple[str, str], str],
) -> list[InputProblem]:
    problems = []
    for section in SECTIONS:
        for entry, value in getattr(tables, section).items():
            other = origins.setdefault((section, entry), name)
            if other != name:
                reason = f"already declared in {other}"
                problems.append(InputProblem(name, f"{section}.{entry}", "", reason))
            merged[section][entry] = value
    return problems


def _check_references(
    configuration: Configuration, origins: dict[tuple[str, str], str]
) -> list[InputProblem]:
    problems: list[InputProblem] = []

    def report(section: str, entry: str, key: str, value: str, reason: str) -> None:
        file = origins[section, entry]
        problem = InputProblem(file, f"{section}.{entry}.{key}", repr(value), reason)
        problems.append(problem)

    for name, team in configuration.teams.items():
        for service in team.services:
            if service not in configuration.services:
                report("teams", name, "services", service, "no such service")
        for priority in team.priorities:
            if priority not in configuration.priorities:
                report("teams", name, "priorities", priority, "no such priority")
        default = team.default_priority
        if default and default not in team.priorities:
            reason = "not among the team's priorities"
            report("teams", name, "default_priority", default, reason)
    for name, server in configuration.backend_servers.items():
        if server.service not in configuration.services:
            reason = "no such service"
            report("backend_servers", name, "service", server.service, reason)
    for name, service_config in configuration.services.items():
        if service_config.kind == "model" and not service_config.model:
            report("services", name, "model", "", "a model service needs a model")
    problems.extend(_check_duplicates(configuration, origins))
    return problems


def _check_duplicates(
    configuration: Configuration, origins: dict[tuple[str, str], str]
) -> list[InputProblem]:
    problems = []
    owners: dict[str, str] = {}
    for name, team in configuration.teams.items():
        for key_hash in team.key_hashes:
            if owners.setdefault(key_hash, name) != name:
                reason = f"the same key belongs to team {owners[key_hash]}"
                file = origins["teams", name]
                problems.append(
                    InputProblem(file, f"teams.{name}.key_hashes", "", reason)
                )
    addresses: dict[str, str] = {}
    for name, server in configuration.backend_servers.items():
        if addresses.setdefault(server.address, name) != name:
            reason = f"the same address as {addresses[server.address]}"
            file = origins["backend_servers", name]
            key = f"backend_servers.{name}.address"
            problems.append(InputProblem(file, key, repr(server.address), reason))
    shares = sum(priority.min_share for priority in configuration.priorities.values())
    if shares > 1:
        name = next(iter(configuration.priorities))
        reason = f"the shares of all priorities add up to {shares:g}, over 1"
        file = origins["priorities", name]
        problems.append(InputProblem(file, "priorities.*.min_share", "", reason))
    return problems

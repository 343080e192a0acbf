"""Build test data that the tests share."""

from __future__ import annotations

from contextlib import AsyncExitStack

from ashpond.call import Call, CallKind, Progress
from ashpond.configuration import Configuration, hash_key, parse_configuration
from ashpond.decisions.placement import Candidate, LoadReport
from ashpond.settings import Settings

TEAM_KEY = "key-of-desk"
OTHER_KEY = "key-of-other"

PRIORITIES = """
[priorities.urgent]
rank = 0
[priorities.background]
rank = 1
min_share = 0.1
"""
SERVICES = """
[services.reader]
kind = "model"
model = "m1"
weights = "w1"
exact_resume = true
[services.booker]
kind = "plain"
repeatable = false
[services.secret]
kind = "model"
model = "m2"
"""
TEAMS = f"""
[teams.desk]
key_hashes = ["{hash_key(TEAM_KEY)}"]
services = ["reader", "booker"]
priorities = ["urgent", "background"]
[teams.other]
key_hashes = ["{hash_key(OTHER_KEY)}"]
services = ["secret"]
priorities = ["background"]
"""
FILES = {"priorities.toml": PRIORITIES, "services.toml": SERVICES, "teams.toml": TEAMS}


def make_configuration() -> Configuration:
    return parse_configuration(FILES)


def make_settings(**changes: object) -> Settings:
    values: dict = {
        "name": "entry-1",
        "failure_domain": "north",
        "callers_address": "127.0.0.1:1",
        "admin_address": "127.0.0.1:2",
        "peers_address": "127.0.0.1:3",
        "platform_address": "127.0.0.1:4",
        "admin_token": "a" * 16,
        "peer_secret": "s" * 16,
    }
    return Settings(**(values | changes))


def make_call(kind: CallKind = CallKind.CHAT, **changes: object) -> Call:
    configuration = make_configuration()
    values: dict = {
        "kind": kind,
        "method": "POST",
        "path": "/x",
        "headers": {},
        "body": b"{}",
        "arrived": 100.0,
        "exits": AsyncExitStack(),
        "progress": Progress(),
        "team_name": "desk",
        "team": configuration.teams["desk"],
        "service_name": "reader",
        "service": configuration.services["reader"],
        "priority": "urgent",
        "deadline": 110.0,
    }
    return Call(**(values | changes))


def make_report(**changes: object) -> LoadReport:
    values: dict = {
        "incarnation": "i1",
        "running": 0,
        "waiting": 0,
        "waiting_tokens": 0,
        "max_running": 8,
        "prefill_rate": 8000.0,
        "weights": "w1",
        "draining": False,
        "cache_blocks": 512,
        "observed_at": 0.0,
    }
    return LoadReport(**(values | changes))


def make_candidate(name: str, **changes: object) -> Candidate:
    values: dict = {"name": name, "failure_domain": "north", "report": make_report()}
    return Candidate(**(values | changes))

"""Identify the calling team by its bearer key."""

from __future__ import annotations

__all__ = ["find_team", "make_authentication"]

import hmac
from typing import TYPE_CHECKING

from ashpond.call import Call, Filter, Handler, Reply
from ashpond.configuration import hash_key
from ashpond.outcomes import Refusal
from ashpond.replies import make_refusal_reply

if TYPE_CHECKING:
    from ashpond.configuration import Configuration
    from ashpond.controllers.configuration import ConfigurationController

BEARER = "bearer "
MAX_KEY_LENGTH = 512
UNAUTHORIZED = 401


def find_team(configuration: Configuration, header: str) -> str | None:
    """Return the name of the team that an Authorization header belongs to.

    All digests are compared, each in constant time, so that the time taken does not
    depend on which one matches.
    """
    if not header.lower().startswith(BEARER) or len(header) > MAX_KEY_LENGTH:
        return None
    given_digest = hash_key(header[len(BEARER) :].strip())
    found_team = None
    for name, team in configuration.teams.items():
        for digest in team.key_hashes:
            if hmac.compare_digest(digest, given_digest):
                found_team = name
    return found_team


def make_authentication(configuration: ConfigurationController) -> Filter:
    """Return the filter that sets a call's team, or refuses the call."""
    refusal = Refusal(UNAUTHORIZED, "unauthorized", "no valid bearer key")

    async def authenticate(call: Call, following: Handler) -> Reply:
        header = call.headers.get("authorization", "")
        name = find_team(configuration.current, header)
        if name is None:
            return make_refusal_reply(refusal)
        call.progress.team = name
        team = configuration.current.teams[name]
        return await following(call._replace(team_name=name, team=team))

    return authenticate

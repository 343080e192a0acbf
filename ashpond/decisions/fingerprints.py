"""Identify requests and the parts of their prompts by keyed digests."""

from __future__ import annotations

__all__ = [
    "FINGERPRINT_BYTES",
    "PART_PREFIX",
    "Fingerprints",
    "is_part",
    "make_fingerprint",
    "make_part_fingerprint",
]

import hashlib
from functools import lru_cache
from typing import NamedTuple

# With 96 bits, the probability that two of a million requests collide is about 1 in
# 10^16.
FINGERPRINT_BYTES = 12
# The length of each field precedes it, so that different fields never hash alike.
LENGTH_BYTES = 8
MAX_KEY_BYTES = 64
# The parts whose fingerprints are cached, about 250 bytes each: requests share them.
CACHED_PARTS = 2_048
# Distinguishes the fingerprints of prompt parts from those of whole requests.
PART_PREFIX = "p"


class Fingerprints(NamedTuple):
    """What may make a request crash its server: itself, or a part of its prompt.

    ``parts`` are all parts but the last, which belongs to the request alone.
    """

    request: str
    parts: tuple[str, ...] = ()

    @property
    def all(self) -> tuple[str, ...]:
        """The fingerprints of the request and of its parts."""
        return (self.request, *self.parts)


def make_fingerprint(
    secret: str, team: str | None, host: str, method: str, target: bytes, body: bytes
) -> str:
    """Return the keyed digest of a request, in hexadecimal.

    A request has the same digest at all instances and on each retry, whatever its id;
    the same request of another team has another digest. Without the secret, a digest
    cannot be tested against a guessed body.

    :param secret: the secret that all instances share.
    :param team: None if the request needs no key; this differs from every team's name.
    """
    caller = b"" if team is None else b"team " + team.encode()
    return _digest(secret, caller, host.lower().encode(), method.encode(), target, body)


@lru_cache(maxsize=CACHED_PARTS)
def make_part_fingerprint(secret: str, namespace: str, part_id: str) -> str:
    """Return the keyed digest of a prompt part.

    :param namespace: the cache namespace, in which an id stands for the same text.
    """
    return PART_PREFIX + _digest(secret, namespace.encode(), part_id.encode())


def is_part(fingerprint: str) -> bool:
    """Return whether a fingerprint is that of a prompt part."""
    return fingerprint.startswith(PART_PREFIX)


def _digest(secret: str, *fields: bytes) -> str:
    key = secret.encode()[:MAX_KEY_BYTES]
    digest = hashlib.blake2b(key=key, digest_size=FINGERPRINT_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(LENGTH_BYTES, "big"))
        digest.update(field)
    return digest.hexdigest()

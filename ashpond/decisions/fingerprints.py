"""Identify requests by a keyed digest of their content."""

from __future__ import annotations

__all__ = ["FINGERPRINT_BYTES", "make_fingerprint"]

import hashlib

# With 96 bits, the probability that two of a million requests collide is about 1 in
# 10^16.
FINGERPRINT_BYTES = 12
# The length of each field precedes it, so that different fields never hash alike.
LENGTH_BYTES = 8
MAX_KEY_BYTES = 64


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
    key = secret.encode()[:MAX_KEY_BYTES]
    digest = hashlib.blake2b(key=key, digest_size=FINGERPRINT_BYTES)
    caller = b"" if team is None else b"team " + team.encode()
    for field in (caller, host.lower().encode(), method.encode(), target, body):
        digest.update(len(field).to_bytes(LENGTH_BYTES, "big"))
        digest.update(field)
    return digest.hexdigest()

"""Name a request by what it asks, without keeping what it asks."""

from __future__ import annotations

__all__ = ["FINGERPRINT_BYTES", "make_fingerprint"]

import hashlib

# 96 bits: among a million requests two have the same name by chance once in 10^16.
FINGERPRINT_BYTES = 12
# A field's length goes before it, so that no two sets of fields have the same bytes.
LENGTH_BYTES = 8
MAX_KEY_BYTES = 64


def make_fingerprint(
    secret: str, team: str | None, host: str, method: str, target: bytes, body: bytes
) -> str:
    """Return the keyed digest of a request, in hexadecimal.

    The same request has the same digest at each instance and each time it comes,
    whatever its id; that of another team has another. Without the secret nobody can
    try whether a digest is that of a certain body.

    :param secret: what all instances share.
    :param team: None where a request needs no key, which differs from all names.
    """
    key = secret.encode()[:MAX_KEY_BYTES]
    digest = hashlib.blake2b(key=key, digest_size=FINGERPRINT_BYTES)
    caller = b"" if team is None else b"team " + team.encode()
    for field in (caller, host.lower().encode(), method.encode(), target, body):
        digest.update(len(field).to_bytes(LENGTH_BYTES, "big"))
        digest.update(field)
    return digest.hexdigest()

"""Signed tokens with which a client resumes a stream through any instance."""

from __future__ import annotations

__all__ = ["StreamToken", "make_stream_token", "read_stream_token"]

from typing import NamedTuple

from itsdangerous import BadSignature, URLSafeSerializer

SALT = "ashpond-stream"


class StreamToken(NamedTuple):
    """The engine that runs a stream, and the team that the stream belongs to."""

    server: str
    incarnation: str
    stream: str
    team: str


def make_stream_token(secret: str, token: StreamToken) -> str:
    """Return the signed text of ``token``."""
    return str(URLSafeSerializer(secret, salt=SALT).dumps(list(token)))


def read_stream_token(secret: str, text: str) -> StreamToken | None:
    """Return the token, ``None`` if its signature is invalid."""
    try:
        fields = URLSafeSerializer(secret, salt=SALT).loads(text)
    except BadSignature:
        return None
    return StreamToken(*fields)

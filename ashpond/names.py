"""Names that are received from other processes."""

from __future__ import annotations

__all__ = ["HeaderName", "PlainName"]

from typing import Annotated

from msgspec import Meta

# Longer than any name of a server, service or failure domain (characters).
MAX_NAME_LENGTH = 200

# Names that are sent in headers: printable ASCII without a space.
HeaderName = Annotated[
    str, Meta(pattern=r"^[\x21-\x7e]+\Z", max_length=MAX_NAME_LENGTH)
]
# Names that are logged, label metrics and go to peers: no control characters and no
# line separators.
PlainName = Annotated[
    str,
    Meta(
        pattern=r"^[^\x00-\x1f\x7f-\x9f\u2028\u2029]*\Z",
        max_length=MAX_NAME_LENGTH,
    ),
]

"""What a stand-in server says of itself, and the bounds that users state for it."""

from __future__ import annotations

from typing import NamedTuple

# The bounds that users state; all in seconds but the share and the slack.
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_SHARE = 1.5
LIMIT_SLACK = 5
# From the first answer that names a limit until the limit has to be kept.
LIMIT_SETTLED_SECONDS = 3.0
# From an instance's word that a server leaves until it gets nothing more from there.
LEAVING_SECONDS = 2.0
# So many requests may reach a server in a backoff that it asked an instance for.
BACKOFF_SLACK = 2
# An instance is bound from so long after it was told.
REACTION_SECONDS = 0.5


class Directive(NamedTuple):
    """An answer of a server to an instance, as far as it says something of the server.

    ``status`` is 200, or that of an answer to a request that was not run.
    """

    status: int = 200
    limit: float | None = None
    is_leaving: bool = False
    backoff: float | None = None

    def format_headers(self) -> str:
        """Return the header lines of the answer."""
        lines = "X-Engine-Seal: s\r\n"
        if self.status != 200:
            lines = "X-Not-Executed: 1\r\n"
        if self.limit is not None:
            lines += f"Server-Limit: {self.limit}\r\n"
        if self.is_leaving:
            lines += "Server-Leaving: 1\r\n"
        if self.backoff is not None:
            lines += f"Retry-After: {self.backoff}\r\n"
        return lines


NO_DIRECTIVE = Directive()

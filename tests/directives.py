"""The directives of a stand-in server, and the bounds that instances must keep."""

from __future__ import annotations

from typing import NamedTuple

# In any window of so many seconds, a server may receive this share of the requests that
# its limit allows, and the slack besides.
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_SHARE = 1.5
LIMIT_SLACK = 5
# From the first answer that names a limit until the limit has to be kept (seconds).
LIMIT_SETTLED_SECONDS = 3.0
# From an answer that announces leaving until the instance sends nothing more (seconds).
LEAVING_SECONDS = 2.0
# The most requests of an instance that may reach a server during a backoff.
BACKOFF_SLACK = 2
# From the receipt of a directive until the instance has to follow it (seconds).
REACTION_SECONDS = 0.5


class Directive(NamedTuple):
    """The directive in an answer of a server.

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

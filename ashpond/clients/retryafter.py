"""Parsing of the ``Retry-After`` header (RFC 9110, section 10.2.3)."""

from __future__ import annotations

__all__ = ["DECIMAL", "REJECTIONS", "parse_retry_after"]

import re
from collections.abc import Sequence
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime

# With these statuses, ``Retry-After`` is for the router; otherwise for the client.
REJECTIONS = (429, 503)
# ``float`` also accepts names such as ``nan``, exponents and underscores.
DECIMAL = re.compile(r"[0-9]{1,18}(\.[0-9]{0,18})?|\.[0-9]{1,18}")


def parse_retry_after(
    values: Sequence[str], date: str | None
) -> tuple[float | None, bool]:
    """Return the longest delay in seconds, and whether any value is malformed.

    :param values: the header's values: decimal seconds or HTTP dates.
    :param date: the response's ``Date`` header, relative to which dates are read.
    """
    times = [_parse_delay(text.strip(), date) for text in values]
    known = [seconds for seconds in times if seconds is not None]
    return max(known, default=None), len(known) < len(times)


def _parse_delay(text: str, date: str | None) -> float | None:
    if DECIMAL.fullmatch(text):
        return float(text)
    until = _parse_date(text)
    if until is None:
        return None
    reference = _parse_date(date or "") or datetime.now(UTC)
    return max(0.0, (until - reference).total_seconds())


def _parse_date(text: str) -> datetime | None:
    try:
        parsed = parsedate_to_datetime(text)
    except (ValueError, TypeError, OverflowError, IndexError):
        return None
    return parsed if parsed.tzinfo else parsed.replace(tzinfo=UTC)

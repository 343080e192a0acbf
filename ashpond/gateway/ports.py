"""The interface that an adapter to an external platform implements."""

from __future__ import annotations

__all__ = ["Platform"]

from collections.abc import Callable
from typing import NamedTuple

from ashpond.controllers.directory import BackendServer
from ashpond.decisions.declared import Declaration, WeightTarget
from ashpond.gateway.calls import Codec
from ashpond.gateway.orders import EnginePort
from ashpond.gateway.store import InvalidRow, Row, Store


class Platform(NamedTuple):
    """The external services and formats that an adapter provides.

    The decoders return an :class:`InvalidRow` for an invalid row, and None for a row
    that was removed or is not used here; they raise no exceptions.
    """

    store: Store
    engines: EnginePort
    codec: Codec
    id_header: bytes
    operator_table: str
    servers_table: str
    decode_operator_row: Callable[[Row], Declaration | WeightTarget | InvalidRow | None]
    decode_server_row: Callable[[Row], BackendServer | InvalidRow | None]

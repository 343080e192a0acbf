"""What an adapter provides, so that the product runs on an outside platform."""

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
    """Everything outside that an adapter provides.

    The decoders answer an :class:`InvalidRow` for a row that is not whole, and None
    for one that was removed or is of no use here; they raise nothing.
    """

    store: Store
    engines: EnginePort
    codec: Codec
    id_header: bytes
    operator_table: str
    servers_table: str
    decode_operator_row: Callable[[Row], Declaration | WeightTarget | InvalidRow | None]
    decode_server_row: Callable[[Row], BackendServer | InvalidRow | None]

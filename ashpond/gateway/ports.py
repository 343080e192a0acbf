"""What an adapter provides, so that the product runs on an outside platform."""

from __future__ import annotations

__all__ = ["Platform"]

from collections.abc import Callable
from typing import NamedTuple

from ashpond.gateway.calls import Codec
from ashpond.gateway.declared import Declaration, WeightTarget
from ashpond.gateway.directory import BackendServer
from ashpond.gateway.orders import EnginePort
from ashpond.gateway.store import Row, Store


class Platform(NamedTuple):
    """Everything outside that an adapter provides."""

    store: Store
    engines: EnginePort
    codec: Codec
    id_header: bytes
    operator_table: str
    servers_table: str
    decode_operator_row: Callable[[Row], Declaration | WeightTarget | None]
    decode_server_row: Callable[[Row], BackendServer | None]

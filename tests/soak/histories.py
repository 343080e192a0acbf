"""What the instances of a soak have logged."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.soak.world import World


def read_history(world: World, request_id: str) -> list[str]:
    """Return what all instances have logged of a request."""
    name = f'"{request_id}"'.encode()
    return [
        f"{instance.name}: {line.decode(errors='replace').rstrip()}"
        for instance in world.instances
        for line in Path(instance.log.name).read_bytes().splitlines()
        if name in line
    ]

"""Run the soak: ``python -m tests.soak SEED [COUNT] [SECONDS]``."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import click
import trio

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "platform"))

from tests.soak.world import World  # noqa: E402


@click.command()
@click.argument("seed", type=int)
@click.argument("count", type=int, default=1)
@click.argument("seconds", type=float, default=12.0)
def main(seed: int, count: int, seconds: float) -> None:
    """Play COUNT seeds from SEED on, each for SECONDS; exit 1 if one failed."""
    failed = 0
    for number in range(seed, seed + count):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{number}-"))
        world = World(number, folder)
        broken = trio.run(world.run, seconds)
        served = sum(s.status == 200 and s.is_whole for s in world.seen)
        click.echo(f"seed {number}: {served} of {len(world.seen)} served, {broken}")
        if broken:
            failed += 1
            click.echo(f"logs: {folder}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

"""Run the soak: ``python -m tests.soak SEED [COUNT] [SECONDS] [OPTIONS]``."""

from __future__ import annotations

import sys
import tempfile
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

import click
import trio

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "platform"))

from tests.soak.world import Play, World  # noqa: E402


def play_seed(play: Play, seconds: float, seed: int) -> tuple[str, list[str]]:
    """Play one seed; return a summary line and the violations found."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    world = World(seed, folder, play)
    broken = trio.run(world.run, seconds)
    served = sum(s.status == 200 and s.is_whole for s in world.outcomes)
    kept = sum(s.connection.uses > 0 for s in world.outcomes)
    line = (
        f"seed {seed}: {served} of {len(world.outcomes)} served, "
        f"{kept} on used connections, {len(world.ledger.crashes)} crashes, "
        f"{len(broken)} broken"
    )
    return (f"{line}, logs: {folder}" if broken else line), broken


def play_seeds(
    play: Callable[[int], tuple[str, list[str]]], seeds: Iterable[int], worlds: int
) -> Iterator[tuple[str, list[str]]]:
    """Play seeds, up to ``worlds`` at once; yield their results in order."""
    if worlds == 1:
        yield from map(play, seeds)
        return
    with ProcessPoolExecutor(worlds) as pool:
        yield from pool.map(play, seeds)


@click.command()
@click.argument("seed", type=int)
@click.argument("count", type=int, default=1)
@click.argument("seconds", type=float, default=12.0)
@click.option("--instances", type=int, help="Instances; else 3 or 5 by the seed.")
@click.option("--servers", type=int, default=3, show_default=True)
@click.option("--keepers", type=int, default=100, show_default=True)
@click.option("--series", type=int, default=4, show_default=True)
@click.option("--returns", is_flag=True, help="The store comes back from copies.")
@click.option("--statements", type=int, default=0, help="Servers say what they want.")
@click.option("--partitions", type=int, default=0, help="Players that cut instances.")
@click.option("--unframed", type=float, default=0.0, help="Share of such answers.")
@click.option("--versions", type=int, default=0, help="Clients that resume streams.")
@click.option("--parts", type=int, default=0, help="Players of deadly prompt parts.")
@click.option("--departures", type=int, default=1, help="Servers leave; late writes.")
@click.option("--endless", type=float, default=0.005, help="Share of such answers.")
@click.option("--herds", type=int, default=0, help="Kills of all at once.")
@click.option("--coordinated", type=int, default=0, help="Instances; 0 for never.")
@click.option("--rejections", type=float, default=0.0, help="Share of such answers.")
@click.option("--worlds", type=int, default=1, help="Seeds played at once.")
def main(
    seed: int,
    count: int,
    seconds: float,
    instances: int | None,
    servers: int,
    keepers: int,
    series: int,
    returns: bool,
    statements: int,
    partitions: int,
    unframed: float,
    versions: int,
    parts: int,
    departures: int,
    endless: float,
    herds: int,
    coordinated: int,
    rejections: float,
    worlds: int,
) -> None:
    """Play COUNT seeds from SEED on, each for SECONDS; exit 1 if one failed."""
    play = Play(
        instances,
        servers,
        keepers,
        series,
        returns,
        statements,
        partitions,
        unframed,
        versions,
        parts,
        departures,
        endless,
        herds,
        coordinated,
        rejections,
    )
    failed = 0
    seeds = range(seed, seed + count)
    for line, broken in play_seeds(partial(play_seed, play, seconds), seeds, worlds):
        failed += bool(broken)
        click.echo("\n  ".join([line, *broken]))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

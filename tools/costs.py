"""Measure the processor time of an instance: its start, idle exchange, one call.

Runs instances as processes on loopback, in groups with hubs, with a store and servers
of the tests in this process. ``--profile`` profiles a member and a hub instead, which
slows them down; ``--imports`` lists the slowest imports of a start.
"""

from __future__ import annotations

import argparse
import json
import os
import pstats
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import trio

from ashpond.decisions.fleetlinks import Member, plan_links
from tools.costfleet import DOMAINS, Options, Usage, World

ROOT = Path(__file__).resolve().parent.parent
PROFILE_ROWS = 45
IMPORT_ROWS = 40


class Result(NamedTuple):
    """A measured cost: its name, value and unit."""

    name: str
    value: float
    unit: str


def list_hubs(options: Options) -> set[str]:
    """Return the names of the instances that act as hubs, by the plan of the links."""
    members = {
        name: Member(name, "", DOMAINS[number % len(DOMAINS)])
        for number in range(options.instances)
        for name in [f"i{number}"]
    }
    links = {n: plan_links(members, n, options.mesh_limit) for n in members}
    return {n for n, link in links.items() if link.group and not link.preferred_hubs}


def choose_profiled(options: Options) -> set[str]:
    """Return the names of one hub and one member."""
    hubs = sorted(list_hubs(options))
    others = (f"i{n}" for n in range(options.instances) if f"i{n}" not in hubs)
    return {*hubs[:1], *list(others)[:1]}


def summarize(
    options: Options, idle: dict[str, Usage], busy: dict[str, Usage], calls: int
) -> list[Result]:
    """Return the mean costs of members and hubs, without those that are profiled."""
    hubs = list_hubs(options)
    results = []
    for name, chosen in (("member", idle.keys() - hubs), ("hub", hubs)):
        if not chosen:
            continue
        processor = statistics.mean(idle[n].processor for n in chosen)
        wakeups = statistics.mean(idle[n].wakeups for n in chosen)
        results += [
            Result(
                f"idle {name}: processor per minute",
                processor / options.idle_seconds * 60,
                "s",
            ),
            Result(f"idle {name}: wake-ups", wakeups / options.idle_seconds, "1/s"),
        ]
    idle_share = sum(u.processor for u in idle.values()) / options.idle_seconds
    used = sum(u.processor for u in busy.values()) - idle_share * options.call_seconds
    results.append(Result("one call, beyond idle", used / calls * 1e3, "ms"))
    return results


async def measure(options: Options, folder: Path) -> list[Result]:
    """Run all measurements and return their results."""
    async with trio.open_nursery() as nursery:
        world = World(options, folder, nursery)
        await world.open()
        results = []
        if options.starts:
            starts = [await world.measure_start() for _ in range(options.starts)]
            results += [
                Result("start: processor, median", statistics.median(starts), "s"),
                Result("start: processor, least", min(starts), "s"),
            ]
        try:
            profiled = choose_profiled(options) if options.profiles else set()
            await world.start_fleet(profiled)
            idle = await world.measure_usage(options.idle_seconds, 0.0)
            connections = world.connections
            busy = await world.measure_usage(options.call_seconds, options.rate)
            calls = len(world.outcomes)
            opened = world.connections - connections
        finally:
            with trio.CancelScope(shield=True):
                await world.stop_fleet()
        nursery.cancel_scope.cancel()
    good = sum(status == 200 for status in world.outcomes)
    return [
        *results,
        *summarize(options, idle, busy, calls),
        Result("new connections to servers per call", opened / calls, ""),
        Result("calls", calls, ""),
        Result("calls answered with 200", good, ""),
    ]


def show_profiles(folder: Path, hubs: set[str]) -> None:
    """Print the functions of each profiled instance that take the most time."""
    for path in sorted(folder.glob("*.prof")):
        print(f"\n{path.stem}, a {'hub' if path.stem in hubs else 'member'}")
        pstats.Stats(str(path)).sort_stats("tottime").print_stats(PROFILE_ROWS)


def compile_modules(root: Path) -> None:
    """Write the bytecode of the measured modules, as the build of a deployment does."""
    command = [sys.executable, "-m", "compileall", "-q", "ashpond", "platform"]
    subprocess.run(command, cwd=root, check=True)


def show_imports(root: Path) -> None:
    """Print the imports that take the most time themselves, and all of them."""
    completed = subprocess.run(
        [
            sys.executable,
            "-X",
            "importtime",
            "-c",
            "import ashpond_platform.composition",
        ],
        env=os.environ | {"PYTHONPATH": f"{root}:{root / 'platform'}"},
        capture_output=True,
        text=True,
        check=True,
    )
    lines = completed.stderr.splitlines()[1:]
    by_cumulated = sorted(lines, key=lambda line: -int(line.split("|")[1]))
    print("\n".join(by_cumulated[:IMPORT_ROWS]))


def render_table(results: list[Result], before: dict[str, float]) -> str:
    """Return one line per result, with the earlier values if there are any."""
    lines = []
    for name, value, unit in results:
        earlier = f"{before[name]:10.4g} | " if name in before else ""
        lines.append(f"| {name:36} | {earlier}{value:10.4g} | {unit:3} |")
    return "\n".join(lines)


def main() -> None:
    """Measure, and print one table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--root", type=Path, default=ROOT, help="Checkout to measure.")
    parser.add_argument("--instances", type=int, default=24)
    parser.add_argument("--mesh-limit", type=int, default=12)
    parser.add_argument("--engines", type=int, default=30)
    parser.add_argument("--starts", type=int, default=7)
    parser.add_argument("--idle-seconds", type=float, default=20.0)
    parser.add_argument("--call-seconds", type=float, default=20.0)
    parser.add_argument("--rate", type=float, default=3.0, help="Per instance.")
    parser.add_argument("--profile", action="store_true")
    parser.add_argument("--imports", action="store_true")
    parser.add_argument("--save", type=Path, help="Write the results as JSON.")
    parser.add_argument("--before", type=Path, help="Show these saved results too.")
    args = parser.parse_args()
    compile_modules(args.root)
    if args.imports:
        show_imports(args.root)
        return
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="ashpond-costs-") as name:
        folder = Path(name)
        options = Options(
            args.root.resolve(),
            args.instances,
            args.mesh_limit,
            args.engines,
            0 if args.profile else args.starts,
            args.idle_seconds,
            args.call_seconds,
            args.rate,
            folder if args.profile else None,
        )
        results = trio.run(measure, options, folder)
        if args.profile:
            show_profiles(folder, list_hubs(options))
            return
    before = json.loads(args.before.read_text()) if args.before else {}
    print(render_table(results, before))
    print(f"({time.monotonic() - started_at:.0f} s)")
    if args.save:
        args.save.write_text(json.dumps({r.name: r.value for r in results}, indent=1))


if __name__ == "__main__":
    main()

"""Replay a trace under several policies in one run and compare them."""

from __future__ import annotations

import argparse
import json
import random
import re
import shutil
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import httpx
import trio

from tools.accounts import compute_max_hit_rate, count_wasted_tokens
from tools.fleet import Fleet, FleetOptions, Process
from tools.load import LoadOptions, Result, run_load, summarize
from tools.traces import TRACES, Event, load_trace

POLICIES = ("round-robin", "least-load", "hashing", "ashpond")
FLOOD_FACTOR = 20
WINDOW_SECONDS = 5.0
METRIC = re.compile(r"^ashpond_(\w+?)(?:\{(.*)\})? ([0-9.e+-]+)$", re.MULTILINE)


class Run(NamedTuple):
    """One replay: the policy, the results and the resources used by instances."""

    policy: str
    results: list[Result]
    seconds: float
    wasted_tokens: int
    metrics: dict[str, float]
    resident_mb: float


def read_metrics(fleet: Fleet) -> dict[str, float]:
    """Return each metric, summed over all instances and labels.

    Store operations are the exception: they are summed by kind of operation.
    """
    sums: dict[str, float] = {}
    for instance in fleet.instances:
        page = fleet.http.get(f"http://{instance.admin}/metrics").text
        for name, labels, value in METRIC.findall(page):
            key = f"store_{labels[6:-1]}" if name == "store_operations" else name
            sums[key] = sums.get(key, 0.0) + float(value)
    return sums


def read_resident_mb(process: Process) -> float:
    """Return the resident memory of a process in MiB, or 0 if it is unknown."""
    status = Path(f"/proc/{process.popen.pid}/status").read_text()
    found = re.search(r"VmRSS:\s+(\d+) kB", status)
    return int(found[1]) / 1024 if found else 0.0


def read_cache_events(fleet: Fleet, engine: Process) -> Any:
    """Return the cache events of an engine, or none if it no longer runs."""
    try:
        return fleet.http.get(f"http://{engine.address}/control/log").json()
    except httpx.ConnectError:
        return {"events": []}


def replay(
    policy: str,
    events: list[Event],
    options: LoadOptions,
    fleet_options: FleetOptions,
    inject_fault: Callable[[Fleet], Any] | None,
) -> Run:
    """Replay a trace on a new deployment, with a fault if one is given."""
    directory = Path(tempfile.mkdtemp(prefix="ashpond-bench-"))
    try:
        with Fleet(fleet_options._replace(policy=policy), directory) as fleet:
            before = read_metrics(fleet)
            started_at = time.monotonic()
            results = trio.run(_run_with_fault, fleet, events, options, inject_fault)
            seconds = time.monotonic() - started_at
            after = read_metrics(fleet)
            logs = [read_cache_events(fleet, engine) for engine in fleet.engines]
            resident = max(read_resident_mb(i) for i in fleet.instances)
            used = {name: after[name] - before.get(name, 0.0) for name in after}
    finally:
        shutil.rmtree(directory)
    wasted = count_wasted_tokens(results, logs)
    return Run(policy, results, seconds, wasted, used, resident)


async def _run_with_fault(
    fleet: Fleet,
    events: list[Event],
    options: LoadOptions,
    inject_fault: Callable[[Fleet], Any] | None,
) -> list[Result]:
    addresses = [instance.address for instance in fleet.instances]
    async with trio.open_nursery() as nursery:
        if inject_fault is not None:
            nursery.start_soon(inject_fault, fleet)
        return await run_load(addresses, events, options)


def list_window_p99s(results: list[Result]) -> list[float]:
    """Return the p99 time to first token of each 5 s window, in milliseconds."""
    windows: dict[int, list[Result]] = {}
    for result in results:
        if result.event.parts:
            number = int(result.event.at // WINDOW_SECONDS)
            windows.setdefault(number, []).append(result)
    return [round(summarize(windows[number]).p99) for number in sorted(windows)]


def collect_figures(run: Run) -> dict[str, Any]:
    """Return the figures of a run, per service and priority and in total."""
    groups: dict[str, list[Result]] = {}
    for result in run.results:
        name = f"{result.event.service}/{result.event.priority}"
        groups.setdefault(name, []).append(result)
    used = run.metrics
    model = [result for result in run.results if result.event.parts]
    return {
        "policy": run.policy,
        "groups": {name: summarize(g)._asdict() for name, g in groups.items()},
        "model": summarize(model)._asdict(),
        "wasted_tokens": run.wasted_tokens,
        "p99_of_5s_windows": list_window_p99s(run.results),
        "goodput_per_s": sum(r.whole for r in run.results) / run.seconds,
        "retries": used.get("retries", 0.0),
        "cpu_ms_per_request": 1000 * used["processor_seconds"] / len(run.results),
        "events_per_request": used.get("stream_events", 0.0) / len(run.results),
        "peer_bytes_per_s": used.get("peer_bytes", 0.0) / run.seconds,
        "store_reads_per_s": used.get("store_read", 0.0) / run.seconds,
        "store_writes_per_s": used.get("store_write", 0.0) / run.seconds,
        "resident_mb": run.resident_mb,
    }


def print_figures(figures: dict[str, Any]) -> None:
    """Print the figures of a run."""
    model = figures["model"]
    print(
        f"{figures['policy']:12} hit {model['hit_rate']:6.1%}  "
        f"wasted {figures['wasted_tokens']:8d}  "
        f"ttft p50 {model['p50']:7.1f} p95 {model['p95']:7.1f} "
        f"p99 {model['p99']:7.1f} ms  goodput {figures['goodput_per_s']:6.1f}/s  "
        f"cpu {figures['cpu_ms_per_request']:5.2f} ms/request  "
        f"rss {figures['resident_mb']:.0f} MB"
    )
    print(f"    p99 of each 5 s: {figures['p99_of_5s_windows']}", end="  ")
    print(f"retries {figures['retries']:.0f}")
    for name, group in sorted(figures["groups"].items()):
        print(
            f"    {name:24} {group['whole']}/{group['total']} whole  "
            f"p50 {group['p50']:7.1f} p95 {group['p95']:7.1f} "
            f"p99 {group['p99']:7.1f} ms  {group['refused'] or ''}"
        )


def add_flood(events: list[Event], team: str) -> list[Event]:
    """Return a trace in which one team sends 20 times as many requests.

    The prompt parts of the added requests are all distinct, so that no cache can
    serve them.
    """
    rng = random.Random(FLOOD_FACTOR)
    more: list[Event] = []
    for event in events:
        if event.team != team:
            continue
        for number in range(FLOOD_FACTOR - 1):
            parts = tuple(
                part._replace(name=f"{part.name}-{number}-{len(more)}")
                for part in event.parts
            )
            at = max(0.0, event.at + rng.uniform(-2, 2))
            more.append(event._replace(at=at, parts=parts))
    return sorted([*events, *more], key=lambda event: event.at)


def main() -> None:
    """Replay a trace under each policy and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("trace", help="name of a trace, or a path")
    parser.add_argument("--policy", action="append", choices=POLICIES)
    parser.add_argument("--speed", type=float, default=1.0)
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--resend-after", type=float, default=0.0)
    parser.add_argument("--deadline-ms", type=int, default=0)
    parser.add_argument("--obey-retry-after", action="store_true")
    parser.add_argument("--fault", default="none")
    parser.add_argument("--cache-blocks", type=int, default=512)
    parser.add_argument("--flood", metavar="TEAM", help="20 times its share")
    parser.add_argument("--event-sample", type=int, default=1)
    parser.add_argument("--prefill-rate", type=int, default=8000)
    parser.add_argument("--json", metavar="FILE")
    args = parser.parse_args()
    from tools.faults import FAULTS

    path = Path(args.trace)
    path = path if path.exists() else TRACES / f"{args.trace}.jsonl"
    events = load_trace(path)
    if args.flood:
        events = add_flood(events, args.flood)
    options = LoadOptions(
        args.speed, args.resend_after, args.deadline_ms, args.obey_retry_after
    )
    engine_args = (
        "--cache-blocks",
        str(args.cache_blocks),
        "--prefill-rate",
        str(args.prefill_rate),
    )
    sample = f"cache_event_sample = {args.event_sample}\n"
    fleet = FleetOptions(engine_args=engine_args, settings_lines=sample)
    bound = compute_max_hit_rate(events)
    print(f"{path.stem}: {len(events)} requests, bound of the hit rate {bound:.1%}")
    runs = []
    for _ in range(args.rounds):
        for policy in args.policy or POLICIES:
            run = replay(policy, events, options, fleet, FAULTS[args.fault])
            figures = collect_figures(run) | {"bound": bound, "fault": args.fault}
            print_figures(figures)
            runs.append(figures)
    if args.json:
        Path(args.json).write_text(json.dumps(runs, indent=1))


if __name__ == "__main__":
    main()

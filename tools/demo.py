"""Show the main job on separate processes, beside a round-robin baseline."""

from __future__ import annotations

import argparse
import shutil
import sys
import tempfile
import time
from functools import partial
from pathlib import Path

import trio

from tools.faults import kill_engine
from tools.fleet import Fleet, FleetOptions
from tools.load import LoadOptions, Result, run_load, summarize
from tools.traces import TRACES, Event, load_trace

POLICIES = ("round-robin", "ashpond")
COUNTERS_WRITE_SECONDS = 12.0


async def replay(
    fleet: Fleet, events: list[Event], *, kills_engine: bool
) -> list[Result]:
    """Send the trace; kill an engine while it runs if ``kills_engine`` is set."""
    addresses = [instance.address for instance in fleet.instances]
    async with trio.open_nursery() as nursery:
        if kills_engine:
            nursery.start_soon(kill_engine, fleet)
        return await run_load(addresses, events, LoadOptions())


def run_policy(
    policy: str, program: tuple[str, ...], *, kills_engine: bool
) -> list[Result]:
    """Replay the demo trace on a new deployment and return all results."""
    events = load_trace(TRACES / "demo.jsonl")
    directory = Path(tempfile.mkdtemp(prefix="ashpond-demo-"))
    options = FleetOptions(policy=policy, program=program)
    try:
        with Fleet(options, directory) as fleet:
            print(
                f"{policy}: 1 platform, {len(fleet.engines)} engines, "
                f"{len(fleet.services)} plain services, "
                f"{len(fleet.instances)} instances; {len(events)} requests …"
            )
            results = trio.run(
                partial(replay, fleet, events, kills_engine=kills_engine)
            )
            if policy == "ashpond":
                # Each instance writes its counters to the store every 10 s; wait
                # until the report includes all requests.
                time.sleep(COUNTERS_WRITE_SECONDS)
                print(fleet.run_command("status"))
                print(fleet.run_command("report", "burn"))
            return results
    finally:
        shutil.rmtree(directory)


def print_figures(policy: str, results: list[Result]) -> int:
    """Print the figures of a policy and return the number of failed requests."""
    model = summarize([result for result in results if result.event.parts])
    failures = sum(not result.whole for result in results)
    print(
        f"{policy:12} hit rate {model.hit_rate:6.1%}   time to first token "
        f"p50 {model.p50:7.1f} ms  p99 {model.p99:7.1f} ms   "
        f"failures {failures} of {len(results)}"
    )
    return failures


def main() -> None:
    """Run the demo; exit with status 1 if a request failed under ashpond."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binary", help="run this binary instead of the sources")
    parser.add_argument(
        "--kill-engine", action="store_true", help="kill an engine after 5 s"
    )
    args = parser.parse_args()
    program = (args.binary,) if args.binary else (sys.executable, "-m", "ashpond")
    outcomes = {
        policy: run_policy(policy, program, kills_engine=args.kill_engine)
        for policy in POLICIES
    }
    failures = [print_figures(policy, results) for policy, results in outcomes.items()]
    sys.exit(1 if failures[-1] else 0)


if __name__ == "__main__":
    main()

"""Measure how long an accepted configuration takes to be in force everywhere."""

from __future__ import annotations

import argparse
import shutil
import statistics
import tempfile
import time
import uuid
from pathlib import Path

import httpx

from tools.fleet import ADMIN_TOKEN, Fleet, FleetOptions

POLL_SECONDS = 0.01
TIMEOUT_SECONDS = 30.0


def apply_change(fleet: Fleet, number: int) -> int:
    """Apply a change through one of the instances and return its generation."""
    instance = fleet.instances[number % len(fleet.instances)]
    text = f"# change {number}\n"
    change = {"files": {"note.toml": text}, "apply_id": uuid.uuid4().hex}
    headers = {"Authorization": f"Bearer {ADMIN_TOKEN}"}
    url = f"http://{instance.admin}/admin/apply"
    answer = fleet.http.post(url, json=change, headers=headers)
    return int(answer.json()["generation"])


def measure_propagation(fleet: Fleet, generation: int) -> float:
    """Return the seconds until every instance runs ``generation``.

    The result is infinite if an instance does not run it before the timeout.
    """
    started_at = time.monotonic()
    pending = list(fleet.instances)
    while pending and time.monotonic() - started_at < TIMEOUT_SECONDS:
        pending = [i for i in pending if read_generation(fleet, i.admin) < generation]
        time.sleep(POLL_SECONDS)
    if pending:
        return float("inf")
    return time.monotonic() - started_at


def read_generation(fleet: Fleet, admin: str) -> int:
    """Return the generation that an instance runs, or 0 if it is not ready."""
    answer = fleet.http.get(f"http://{admin}/readyz")
    if answer.status_code != httpx.codes.OK:
        return 0
    return int(answer.json()["generation"])


def measure(fleet: Fleet, rounds: int, *, with_store_outage: bool) -> list[float]:
    """Return the propagation times of several changes in seconds.

    :param with_store_outage: stop the store once a change has been accepted.
    """
    times = []
    for number in range(rounds):
        generation = apply_change(fleet, number)
        if with_store_outage:
            fleet.set_faults(fleet.platform, outage=True)
        times.append(measure_propagation(fleet, generation))
        fleet.set_faults(fleet.platform, outage=False)
    return times


def main() -> None:
    """Print the propagation times with and without an outage of the store."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=8)
    parser.add_argument("--rounds", type=int, default=20)
    args = parser.parse_args()
    directory = Path(tempfile.mkdtemp(prefix="ashpond-spread-"))
    options = FleetOptions(instances=args.instances, engines=1, services=1)
    try:
        with Fleet(options, directory) as fleet:
            for stops in (False, True):
                times = measure(fleet, args.rounds, with_store_outage=stops)
                print(
                    f"{args.instances} instances, store "
                    f"{'just gone' if stops else 'up':9}: "
                    f"median {statistics.median(times):.2f} s, "
                    f"longest {max(times):.2f} s of {args.rounds}"
                )
    finally:
        shutil.rmtree(directory)


if __name__ == "__main__":
    main()

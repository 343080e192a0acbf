"""Measure the store transactions and latency of claims, with and without batches."""

from __future__ import annotations

import shutil
import tempfile
import time
from pathlib import Path

import trio

from ashpond.clients.platform import PlatformClient
from ashpond.controllers.claims import Claim, ClaimsController
from ashpond.metrics import Metrics
from tests.builders import make_settings
from tools.fleet import Fleet, FleetOptions

CLAIMS = 400
STORE_SECONDS = 0.01
RATES = (20, 100, 400)


async def run_claims(address: str, max_batch: int, rate: float) -> tuple[float, float]:
    """Make claims at a given rate.

    :param rate: claims per second.
    :returns: the transactions per claim and the mean latency in milliseconds.
    """
    platform = PlatformClient(address, 5.0)
    settings = make_settings(platform_address=address)
    name = f"{max_batch}-{rate}"
    claims = ClaimsController(settings, name, platform, Metrics(), max_batch=max_batch)
    waits: list[float] = []

    async def claim(number: int) -> None:
        started_at = time.perf_counter()
        outcome = await claims.claim(f"{name}/{number}", "digest", 60.0)
        assert isinstance(outcome, Claim), outcome
        waits.append(time.perf_counter() - started_at)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(claims.run)
        async with trio.open_nursery() as callers:
            for number in range(CLAIMS):
                callers.start_soon(claim, number)
                await trio.sleep(1 / rate)
        nursery.cancel_scope.cancel()
    await platform.aclose()
    return platform.writes / CLAIMS, sum(waits) / len(waits) * 1000


def main() -> None:
    """Print the cost and latency for each rate and batch size."""
    directory = Path(tempfile.mkdtemp(prefix="ashpond-claims-"))
    options = FleetOptions(instances=1, engines=1, services=1)
    try:
        with Fleet(options, directory) as fleet:
            assert fleet.platform is not None
            fleet.set_faults(fleet.platform, delay_seconds=STORE_SECONDS)
            for rate in RATES:
                for batch in (1, 64):
                    address = fleet.platform.address
                    cost, wait = trio.run(run_claims, address, batch, rate)
                    print(
                        f"{rate:4d} claims/s, batches of at most {batch:2d}: "
                        f"{cost:.2f} transactions a claim, {wait:7.1f} ms"
                    )
    finally:
        shutil.rmtree(directory)


if __name__ == "__main__":
    main()

"""Settings and fixtures for all tests: reproducible examples, no deadlines."""

from __future__ import annotations

import os
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest
from hypothesis import HealthCheck, settings

from tools.fleet import Fleet, FleetOptions

COMMON = {"deadline": None, "suppress_health_check": list(HealthCheck)}
settings.register_profile("ci", derandomize=True, database=None, **COMMON)
settings.register_profile("explore", max_examples=1000, print_blob=True, **COMMON)
settings.load_profile(os.environ.get("ASHPOND_TESTS", "ci"))


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: Any) -> Iterator[Fleet]:
    options = FleetOptions(instances=3, engines=3, services=2)
    with Fleet(options, tmp_path_factory.mktemp("fleet")) as started:
        yield started


@pytest.fixture
def threads() -> Iterator[ThreadPoolExecutor]:
    with ThreadPoolExecutor(16) as pool:
        yield pool

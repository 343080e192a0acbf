"""A key is removed right after the store was restored from an older copy.

The test guards against instances that keep accepting the removed key. The store was
away for half a second and was restored from a copy that was 13 versions older. Then a
key was removed, and further writes brought the store to the version that the instances
knew. They kept requesting the changes after that version, and each empty answer
confirmed the outdated configuration. Six seconds later three instances still accepted
the key in 12 requests of 12; the bound is 5 s.
"""

from __future__ import annotations

from pathlib import Path

import orjson
import trio

from ashpond_platform.rows import OPERATOR_TABLE
from tests.crashingservers import HARMLESS_BODY, World, make_configuration

INSTANCES = 3
LOST_VERSIONS = 13
REVOCATION_SECONDS = 5.0


async def test_key_removed_after_a_restore_is_refused_in_time(tmp_path: Path) -> None:
    world = World(tmp_path, INSTANCES, 3, lambda body: False)

    async def ask_all(key: str) -> list[int]:
        return [
            (await world.ask(number % INSTANCES, HARMLESS_BODY, key)).status
            for number in range(INSTANCES * 4)
        ]

    async def play() -> None:
        memory = world.memory
        assert set(await ask_all("k2")) == {200}
        copy = memory.take_copy()
        for number in range(LOST_VERSIONS):
            memory.put("other", f"lost {number}", b"x")
        # Writes to both followed tables bring all followers to the newest version.
        for number in range(3):
            entry = memory.rows["servers", f"s{number}-0"].value
            memory.put("servers", f"s{number}-0", entry)
        memory.put(OPERATOR_TABLE, "other", b"x")
        await trio.sleep(1.0)
        known = memory.version
        memory.restore_from(copy)
        removed = orjson.dumps(make_configuration(2, ("k1",)))
        memory.put(OPERATOR_TABLE, "config", removed)
        while memory.version <= known:
            memory.put("other", "beat", b"x")
        await trio.sleep(REVOCATION_SECONDS)
        assert set(await ask_all("k2")) == {401}
        assert set(await ask_all("k1")) == {200}

    await world.run(play)

"""A key is removed just after the store has come back from an older copy.

What was seen, in a trial with three instances: the store was away for half a second and
came back from a copy 13 versions older; a key was removed, and servers wrote their
entries, so that the version which the instances knew was reached again. Six seconds
later all of them still served the removed key, 12 requests of 12; the bound is five.

The cause. They went on asking for what came after that version, and got nothing. Each
empty answer confirmed what they knew.
"""

from __future__ import annotations

from pathlib import Path

import orjson
import trio

from ashpond_platform.rows import OPERATOR_TABLE
from tests.endings import HARMLESS_BODY, World, make_configuration

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
        # Servers' entries go with them, so that all follow to the newest version.
        for number in range(3):
            entry = memory.rows["servers", f"s{number}-0"].value
            memory.put("servers", f"s{number}-0", entry)
        memory.put(OPERATOR_TABLE, "other", b"x")
        await trio.sleep(1.0)
        known = memory.version
        memory.return_from(copy)
        removed = orjson.dumps(make_configuration(2, ("k1",)))
        memory.put(OPERATOR_TABLE, "config", removed)
        while memory.version <= known:
            memory.put("other", "beat", b"x")
        await trio.sleep(REVOCATION_SECONDS)
        assert set(await ask_all("k2")) == {401}
        assert set(await ask_all("k1")) == {200}

    await world.run(play)

"""Hypothesis strategies for damaged values, for tests of decoders."""

from __future__ import annotations

import json
from typing import Any

from hypothesis import strategies as st

values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=9), inner)
    ),
    max_leaves=8,
)


@st.composite
def damage(draw: st.DrawFn, good: dict[str, Any]) -> bytes:
    """Return the JSON of a valid value with changed fields, possibly truncated, or
    arbitrary bytes.
    """
    if draw(st.integers(0, 4)) == 0:
        return draw(st.binary(max_size=60))
    fields = draw(st.lists(st.sampled_from(sorted(good)), min_size=1, max_size=3))
    changed = dict(good)
    for field in fields:
        if draw(st.booleans()):
            changed.pop(field, None)
        else:
            changed[field] = draw(values)
    data = json.dumps(changed).encode()
    return data[: draw(st.integers(0, len(data)))] if draw(st.booleans()) else data

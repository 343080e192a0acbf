"""Request traces for the demo and the bench, and the generators of them.

A trace is a file of JSON lines, one for each request. Prompt texts are not stored: a
prompt part has a name and a length, and its text is derived from its name.
"""

from __future__ import annotations

__all__ = ["TRACES", "Event", "Part", "load_trace", "make_text", "record_traces"]

import hashlib
import json
import random
from pathlib import Path
from typing import NamedTuple

TRACES = Path(__file__).parent.parent / "traces"
SEED = 20261202


class Part(NamedTuple):
    """A part of a prompt: its name and its length in characters."""

    name: str
    length: int


class Event(NamedTuple):
    """A request to send ``at`` seconds after the start of the trace.

    A request without ``parts`` is a call of a plain service.
    """

    at: float
    service: str
    team: str
    priority: str
    parts: tuple[Part, ...] = ()
    max_tokens: int = 8
    key: str = ""


def make_text(part: Part) -> str:
    """Return the text of a part; equal names and lengths give equal texts."""
    digest = hashlib.sha256(part.name.encode()).hexdigest()
    repeats = part.length // (len(digest) + 1) + 1
    return (f"{digest} " * repeats)[: part.length]


def load_trace(path: Path) -> list[Event]:
    """Read a trace from a file of JSON lines."""
    events = []
    for line in path.read_text().splitlines():
        fields = json.loads(line)
        fields["parts"] = tuple(Part(*part) for part in fields["parts"])
        events.append(Event(**fields))
    return events


def save_trace(path: Path, events: list[Event]) -> None:
    """Write a trace, ordered by time."""
    ordered = sorted(events, key=lambda event: event.at)
    lines = [json.dumps(event._asdict(), separators=(",", ":")) for event in ordered]
    path.write_text("\n".join(lines) + "\n")


def generate_khangai(
    seconds: float, bids_per_interval: int, participants: int
) -> list[Event]:
    """Return a trace of bid checks in bursts, dispatch notes and publications.

    Each settlement interval of 5 s begins with a burst of bid checks for a few
    participants. All bid checks and notes share one rulebook as their first prompt
    part, which is replaced halfway through the trace.
    """
    rng = random.Random(SEED)
    interval = 5.0
    events: list[Event] = []
    start = 0.0
    while start < seconds:
        rulebook = Part(f"rulebook-{int(start // (seconds / 2))}", 8000)
        for number in range(bids_per_interval):
            participant = rng.randrange(participants)
            bid = (
                rulebook,
                Part(f"participant-{participant}", 6000),
                Part(f"bundle-{start}-{number}", 800),
            )
            at = start + min(rng.expovariate(0.7), interval - 0.1)
            event = Event(at, "bid-reader", "market-desk", "urgent", bid, 4)
            events.append(event)
        for number in range(bids_per_interval // 4):
            note = (rulebook, Part(f"note-{start}-{number}", 1200))
            at = start + rng.uniform(0, interval)
            event = Event(at, "bid-reader", "dispatch-notes", "background", note, 24)
            events.append(event)
        for number in range(bids_per_interval // 8):
            at = start + 2 + rng.uniform(0, 1)
            key = f"publish-{start}-{number}"
            events.append(Event(at, "settle-pub", "settlement", "urgent", key=key))
        start += interval
    return events


def generate_hinokuni(seconds: float, rate: float, shops: int) -> list[Event]:
    """Return a trace of seat checks and assistant answers for many shops.

    Each shop has its own rules as the first prompt part. The popularity of shops
    follows Zipf's law; halfway through the trace the most popular shops change.
    """
    rng = random.Random(SEED + 1)
    weights = [1 / (rank + 1) for rank in range(shops)]
    events: list[Event] = []
    at = 0.0
    while (at := at + rng.expovariate(rate)) < seconds:
        rank = rng.choices(range(shops), weights)[0]
        shop = (rank + (shops // 2 if at > seconds / 2 else 0)) % shops
        rules = Part(f"house-rules-{shop}", 5000)
        menu = Part(f"menu-{shop}-{rng.randrange(2)}", 2500)
        turn = Part(f"turn-{len(events)}", rng.randrange(200, 900))
        if rng.random() < 0.4:
            check = Event(at, "bid-reader", "market-desk", "urgent", (rules, turn), 4)
            events.append(check)
            continue
        parts = (rules, menu, turn)
        event = Event(at, "bid-reader", "hydro-fleet", "normal", parts, 20)
        events.append(event)
    return events


def record_traces() -> None:
    """Write the traces that the demo and the bench replay."""
    TRACES.mkdir(exist_ok=True)
    save_trace(TRACES / "demo.jsonl", generate_khangai(15.0, 60, 12))
    save_trace(TRACES / "khangai.jsonl", generate_khangai(30.0, 90, 20))
    save_trace(TRACES / "hinokuni.jsonl", generate_hinokuni(30.0, 30.0, 120))


if __name__ == "__main__":
    record_traces()

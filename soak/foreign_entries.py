"""Writes entries of another program into the list of runners, while others fail."""

import json
import random

import trio

from .fleet import SoakFleet

KEYS = [f"foreign-{number}" for number in range(20)]  # more than fit a datagram
PAUSE_S = (0.3, 2.0)
ENTRY = {
    "service": "archive",
    "address": "127.0.0.1:9",
    "zone": "a",
    "slots": 4,
    "state": "ready",
    "born": 1_700_000_000_000,
}
CHANGES = (
    {},
    {"slots": 5},
    {"slots": 6},
    {"address": f"{'9f' * 32}:8080"},
    {"address": "127.0.0.1:70000"},
    {"service": "plain", "slots": 10**400},
    {"service": "model", "cold_remaining_ms": 10**400},
    {"service": "plain", "zone": "\ud800"},
    {"service": "plain", "state": []},
)
TEXTS = ("[" * 4096, "", "{", *(json.dumps(ENTRY | change) for change in CHANGES))


async def write_foreign_entries(fleet: SoakFleet, rng: random.Random) -> None:
    """Write odd entries and drop them again, until cancelled; drop all at the end."""
    try:
        while True:
            await trio.sleep(rng.uniform(*PAUSE_S))
            texts = dict.fromkeys(rng.sample(KEYS, rng.randint(1, len(KEYS))))
            if rng.random() > 0.3:
                texts = {key: rng.choice(TEXTS) for key in texts}
            await fleet.control_store("/change", table="servers", text_by_key=texts)
    finally:
        with trio.CancelScope(shield=True):
            texts = dict.fromkeys(KEYS)
            await fleet.control_store("/change", table="servers", text_by_key=texts)

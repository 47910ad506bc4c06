"""What one poll of the instance list costs an entry, by length of the list."""

import time
from dataclasses import dataclass
from typing import Final

import msgspec

from masticwind.budget import MS_PER_S
from masticwind.entry.agent_subset import choose_subset
from masticwind.settings import EntrySettings, PeerSettings
from masticwind.store.base import Instance

ENTRY_SHARE: Final = 530 / 6930
ZONES: Final = 17
REPEATS: Final = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class ListingCost:
    """Size of the answer, and the time to read it and choose the subset.

    `zones_seen` and `least_in_zone` describe the subset that was chosen.
    """

    instances: int
    answer_bytes: int
    decode_ms: float
    choose_ms: float
    chosen: int
    zones_seen: int
    least_in_zone: int


def measure_listing(count: int) -> ListingCost:
    """Measure a list of `count` instances, entries and agents mixed."""
    entries = max(1, round(count * ENTRY_SHARE))
    listed = [_instance(number, entries) for number in range(count)]
    answer = msgspec.json.encode(listed)
    cfg = EntrySettings(
        node='entry-0',
        zone='zone-0',
        peers=PeerSettings(secrets=('one',)),
    )
    start = time.perf_counter()
    for _ in range(REPEATS):
        msgspec.json.decode(answer, type=tuple[Instance, ...])
    decoded = time.perf_counter()
    for _ in range(REPEATS):
        chosen = choose_subset(cfg, listed)
    end = time.perf_counter()
    zones = [one.zone for one in chosen]
    return ListingCost(
        instances=count,
        answer_bytes=len(answer),
        decode_ms=(decoded - start) / REPEATS * MS_PER_S,
        choose_ms=(end - decoded) / REPEATS * MS_PER_S,
        chosen=len(chosen),
        zones_seen=len(set(zones)),
        least_in_zone=min(map(zones.count, zones)),
    )


def _instance(number: int, entries: int) -> Instance:
    role = 'entry' if number < entries else 'agent'
    return msgspec.convert(
        {
            'node': f'{role}-{number}',
            'role': role,
            'host': f'10.0.{number // 250}.{number % 250}',
            'port': 7000,
            'zone': f'zone-{number % ZONES}',
        },
        type=Instance,
    )

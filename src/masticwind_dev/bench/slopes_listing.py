"""Measures the cost of one poll of the instance list by its length."""

import time
from dataclasses import dataclass
from typing import Final

import msgspec

from masticwind.budget import MS_PER_S
from masticwind.entry.agent_subset import choose_subset
from masticwind.settings import EntrySettings, PeerSettings
from masticwind.store.base import Instance

ENTRY_SHARE: Final = 530 / 6930
ZONE_COUNT: Final = 17
REPEAT_COUNT: Final = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class ListingCost:
    """Size of the response, and the times to decode it and choose the subset.

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
    entry_count = max(1, round(count * ENTRY_SHARE))
    listed = [_make_instance(number, entry_count) for number in range(count)]
    response = msgspec.json.encode(listed)
    cfg = EntrySettings(
        node='entry-0',
        zone='zone-0',
        peers=PeerSettings(secrets=('one',)),
    )
    start = time.perf_counter()
    for _ in range(REPEAT_COUNT):
        msgspec.json.decode(response, type=tuple[Instance, ...])
    decoded_at = time.perf_counter()
    for _ in range(REPEAT_COUNT):
        chosen = choose_subset(cfg, listed)
    end = time.perf_counter()
    zones = [instance.zone for instance in chosen]
    return ListingCost(
        instances=count,
        answer_bytes=len(response),
        decode_ms=(decoded_at - start) / REPEAT_COUNT * MS_PER_S,
        choose_ms=(end - decoded_at) / REPEAT_COUNT * MS_PER_S,
        chosen=len(chosen),
        zones_seen=len(set(zones)),
        least_in_zone=min(map(zones.count, zones)),
    )


def _make_instance(number: int, entry_count: int) -> Instance:
    role = 'entry' if number < entry_count else 'agent'
    return msgspec.convert(
        {
            'node': f'{role}-{number}',
            'role': role,
            'host': f'10.0.{number // 250}.{number % 250}',
            'port': 7000,
            'zone': f'zone-{number % ZONE_COUNT}',
        },
        type=Instance,
    )

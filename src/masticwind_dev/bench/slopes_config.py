"""Measures memory, lookup time and sizes of a config with many teams.

Memory and times are measured in a subprocess, which reads the stored parts
as an entry does and never holds the configuration they were made from.

    python -m masticwind_dev.bench.slopes_config PARTS.json TOKEN
"""

import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Final

import cyclopts
import msgspec
import psutil

from masticwind.budget import MS_PER_S
from masticwind.config.current import CurrentConfig, token_digest
from masticwind.config.model import (
    Configuration,
    Generation,
    Model,
    Team,
    Tier,
    Zone,
)
from masticwind.config.parts import (
    Head,
    PartCache,
    SplitConfiguration,
    split_configuration,
)
from masticwind.errors import Failure

TEAM_COUNTS: Final = (10, 1_000, 47_000)
LOOKUP_COUNT: Final = 100_000
KIB: Final = 1024
NS_PER_S: Final = 1_000_000_000
ZONE_COUNT: Final = 17
REGION_COUNT: Final = 7
MODEL_COUNT: Final = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class _StoredConfig:
    """A stored configuration, and what a change of one team adds to it."""

    head: Head
    parts: dict[str, bytes]
    changed_head: Head
    changed_parts: dict[str, bytes]


@dataclass(frozen=True, slots=True, kw_only=True)
class AdoptionCost:
    """Memory growth and times that the adopting process measured."""

    rss_growth_kib: int
    first_adopt_ms: float
    change_adopt_ms: float
    team_of_token_ns: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigCost:
    """Sizes in the store, and the cost of adopting the configuration.

    `change_parts` and `change_bytes` are what a change of one team writes.
    """

    teams: int
    head_bytes: int
    parts: int
    parts_bytes: int
    largest_part_bytes: int
    change_parts: int
    change_bytes: int
    split_ms: float
    adopted: AdoptionCost


def config_with_teams(count: int) -> Configuration:
    """Return a configuration of the design scale with `count` teams.

    A team's bearer token is its name.
    """
    return Configuration(
        zones={
            f'zone-{number}': Zone(region=f'region-{number % REGION_COUNT}')
            for number in range(ZONE_COUNT)
        },
        tiers={'paid': Tier(kind='paid'), 'free': Tier(kind='free')},
        teams={
            f'team-{number:05}': _make_team(number) for number in range(count)
        },
        models={f'model-{number}': Model() for number in range(MODEL_COUNT)},
    )


def change_team_weight(config: Configuration, number: int) -> Configuration:
    """Return `config` with the weight of one team changed."""
    name = 'team-00007'
    changed = msgspec.structs.replace(config.teams[name], weight=1.0 + number)
    return replace(config, teams={**config.teams, name: changed})


def _make_team(number: int) -> Team:
    return Team(
        tier='free' if number % 4 == 0 else 'paid',
        token_digests=(token_digest(f'team-{number:05}'),),
        requests_per_s=50,
        tokens_per_s=200_000,
        max_in_flight=400,
    )


def measure_config(teams: int) -> ConfigCost:
    """Measure a configuration with `teams` teams."""
    config = config_with_teams(teams)
    start = time.perf_counter()
    before = _split_config(config)
    split_ms = (time.perf_counter() - start) * MS_PER_S
    after = _split_config(change_team_weight(config, 1))
    changed = {
        digest: content
        for digest, content in after.contents.items()
        if digest not in before.contents
    }
    stored = _StoredConfig(
        head=_make_head(1, before),
        parts=before.contents,
        changed_head=_make_head(2, after),
        changed_parts=changed,
    )
    head_bytes = len(msgspec.json.encode(stored.head))
    sizes = [len(content) for content in before.contents.values()]
    return ConfigCost(
        teams=teams,
        head_bytes=head_bytes,
        parts=len(sizes),
        parts_bytes=sum(sizes),
        largest_part_bytes=max(sizes),
        change_parts=len(changed),
        change_bytes=head_bytes + sum(map(len, changed.values())),
        split_ms=split_ms,
        adopted=_measure_adoption_in_subprocess(stored),
    )


def _split_config(config: Configuration) -> SplitConfiguration:
    parts = split_configuration(config)
    if isinstance(parts, Failure):
        raise RuntimeError(parts.reason)
    return parts


def _make_head(number: int, parts: SplitConfiguration) -> Head:
    return Head(
        number=number,
        writer='0' * 32,
        operator='bench',
        applied_at='2026-01-01T00:00:00+00:00',
        parts=parts.section_digests,
    )


def _measure_adoption_in_subprocess(stored: _StoredConfig) -> AdoptionCost:
    with tempfile.TemporaryDirectory(prefix='masticwind-') as folder:
        path = Path(folder) / 'parts'
        path.write_bytes(msgspec.msgpack.encode(stored))
        completed = subprocess.run(
            [sys.executable, '-m', __spec__.name, str(path)],
            stdout=subprocess.PIPE,
            check=True,
        )
    return msgspec.json.decode(completed.stdout, type=AdoptionCost)


def measure_adoption(path: Path) -> None:
    """Adopt the configuration stored at PATH and print the cost as JSON."""
    stored = msgspec.msgpack.decode(path.read_bytes(), type=_StoredConfig)
    process = psutil.Process()
    # The parts are already in memory here, while an entry receives them from
    # a peer: their size is counted as growth.
    rss_before = process.memory_info().rss - sum(
        map(len, stored.parts.values())
    )
    config, cache = CurrentConfig(), PartCache()
    first_ms = _measure_adopt_ms(config, cache, stored.head, stored.parts)
    growth = process.memory_info().rss - rss_before
    change_ms = _measure_adopt_ms(
        config, cache, stored.changed_head, stored.changed_parts
    )
    tokens = list(config.config.teams)
    start = time.perf_counter()
    for number in range(LOOKUP_COUNT):
        config.find_team_by_token(tokens[number % len(tokens)])
    lookup_s = (time.perf_counter() - start) / LOOKUP_COUNT
    cost = AdoptionCost(
        rss_growth_kib=growth // KIB,
        first_adopt_ms=first_ms,
        change_adopt_ms=change_ms,
        team_of_token_ns=lookup_s * NS_PER_S,
    )
    print(msgspec.json.encode(cost).decode())


def _measure_adopt_ms(
    config: CurrentConfig,
    cache: PartCache,
    head: Head,
    parts: dict[str, bytes],
) -> float:
    start = time.perf_counter()
    for digest, content in parts.items():
        cache.add(digest, content)
    joined = cache.build_configuration(head)
    if isinstance(joined, Failure):
        raise RuntimeError(joined.reason)
    config.adopt(Generation(number=head.number, config=joined))
    cache.keep_only([head])
    return (time.perf_counter() - start) * MS_PER_S


if __name__ == '__main__':
    cyclopts.run(measure_adoption)

"""Memory, look-up time and sizes of a configuration with many teams.

The figures come from a process of its own, which reads the stored parts as
an entry does and never holds the configuration that they were made from.

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

TEAMS: Final = (10, 1_000, 47_000)
LOOK_UPS: Final = 100_000
KIB: Final = 1024
NS_PER_S: Final = 1_000_000_000
ZONES: Final = 17
REGIONS: Final = 7
MODELS: Final = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class _Stored:
    """A configuration and its change of one team, as stored."""

    head: Head
    parts: dict[str, bytes]
    changed_head: Head
    changed_parts: dict[str, bytes]


@dataclass(frozen=True, slots=True, kw_only=True)
class Adopted:
    """What a process with the configuration measured of itself."""

    rss_growth_kib: int
    first_adopt_ms: float
    change_adopt_ms: float
    team_of_token_ns: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigCost:
    """Sizes in bytes, and what the process measured."""

    teams: int
    head_bytes: int
    parts: int
    parts_bytes: int
    largest_part_bytes: int
    change_parts: int
    change_bytes: int
    split_ms: float
    adopted: Adopted


def teams_config(count: int) -> Configuration:
    """Return a configuration at the design scale but for its teams.

    A team's bearer token is its name.
    """
    return Configuration(
        zones={
            f'zone-{one}': Zone(region=f'region-{one % REGIONS}')
            for one in range(ZONES)
        },
        tiers={'paid': Tier(kind='paid'), 'free': Tier(kind='free')},
        teams={f'team-{one:05}': _team(one) for one in range(count)},
        models={f'model-{one}': Model() for one in range(MODELS)},
    )


def with_weight(config: Configuration, number: int) -> Configuration:
    """Return `config` with the weight of one team changed."""
    name = 'team-00007'
    changed = msgspec.structs.replace(config.teams[name], weight=1.0 + number)
    return replace(config, teams={**config.teams, name: changed})


def _team(number: int) -> Team:
    return Team(
        tier='free' if number % 4 == 0 else 'paid',
        token_digests=(token_digest(f'team-{number:05}'),),
        requests_per_s=50,
        tokens_per_s=200_000,
        max_in_flight=400,
    )


def measure_config(teams: int) -> ConfigCost:
    """Measure a configuration with `teams` teams."""
    config = teams_config(teams)
    start = time.perf_counter()
    before = _split(config)
    split_ms = (time.perf_counter() - start) * MS_PER_S
    after = _split(with_weight(config, 1))
    changed = {
        digest: content
        for digest, content in after.contents.items()
        if digest not in before.contents
    }
    stored = _Stored(
        head=_head(1, before),
        parts=before.contents,
        changed_head=_head(2, after),
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
        adopted=_in_own_process(stored),
    )


def _split(config: Configuration) -> SplitConfiguration:
    parts = split_configuration(config)
    if isinstance(parts, Failure):
        raise RuntimeError(parts.reason)
    return parts


def _head(number: int, parts: SplitConfiguration) -> Head:
    return Head(
        number=number,
        writer='0' * 32,
        operator='bench',
        applied_at='2026-01-01T00:00:00+00:00',
        parts=parts.section_digests,
    )


def _in_own_process(stored: _Stored) -> Adopted:
    with tempfile.TemporaryDirectory(prefix='masticwind-') as folder:
        path = Path(folder) / 'parts'
        path.write_bytes(msgspec.msgpack.encode(stored))
        done = subprocess.run(
            [sys.executable, '-m', __spec__.name, str(path)],
            stdout=subprocess.PIPE,
            check=True,
        )
    return msgspec.json.decode(done.stdout, type=Adopted)


def adopt_stored(path: Path) -> None:
    """Adopt the stored configuration at PATH and print an `Adopted`."""
    stored = msgspec.msgpack.decode(path.read_bytes(), type=_Stored)
    process = psutil.Process()
    # The file's content is in memory once already, as parts; an entry gets
    # them from a peer. Their size counts for the growth.
    before = process.memory_info().rss - sum(map(len, stored.parts.values()))
    config, cache = CurrentConfig(), PartCache()
    first_ms = _adopt(config, cache, stored.head, stored.parts)
    growth = process.memory_info().rss - before
    change_ms = _adopt(config, cache, stored.changed_head, stored.changed_parts)
    tokens = list(config.config.teams)
    start = time.perf_counter()
    for number in range(LOOK_UPS):
        config.find_team_by_token(tokens[number % len(tokens)])
    look_up_s = (time.perf_counter() - start) / LOOK_UPS
    found = Adopted(
        rss_growth_kib=growth // KIB,
        first_adopt_ms=first_ms,
        change_adopt_ms=change_ms,
        team_of_token_ns=look_up_s * NS_PER_S,
    )
    print(msgspec.json.encode(found).decode())


def _adopt(
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
    cyclopts.run(adopt_stored)

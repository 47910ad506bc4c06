"""Slopes: what one process costs for each peer, team and order.

Each part can run alone. The results are one JSON file for each part and a
plot; `docs/CAPACITY.md` works the design scale out from them.
"""

import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

import anyio
import msgspec

from masticwind_dev.bench.slopes_config import TEAMS, measure_config
from masticwind_dev.bench.slopes_control import (
    ControlPlan,
    measure_agent,
    measure_entry,
)
from masticwind_dev.bench.slopes_listing import measure_listing
from masticwind_dev.bench.slopes_spread import SpreadPlan, measure_spread

ORDERS_MODULE: Final = 'masticwind_dev.bench.orders'
RESULT: Final = 'slopes.json'
PLOT: Final = 'slopes.png'


@dataclass(frozen=True, slots=True, kw_only=True)
class SlopesPlan:
    """Sizes of all parts; the defaults take under 10 minutes in all.

    `relay_rates` are requests a second to an entry with the smallest number
    of peers, each of `control.load_tokens` tokens.
    """

    control: ControlPlan = field(default_factory=ControlPlan)
    spread: SpreadPlan = field(default_factory=SpreadPlan)
    teams: tuple[int, ...] = TEAMS
    order_rates: tuple[int, ...] = (200, 1000, 2000)
    orders_s: float = 10
    listed: tuple[int, ...] = (18, 600, 6930)
    relay_rates: tuple[int, ...] = (10, 20, 40)


DEFAULT_PLAN: Final = SlopesPlan()
# A check that everything runs; its figures mean nothing.
SHORT_PLAN: Final = SlopesPlan(
    control=ControlPlan(
        peers=(2, 4),
        duration_s=1,
        load_rate=5,
        load_tokens=10,
    ),
    spread=SpreadPlan(processes=(3,), teams=20, changes=1),
    teams=(10, 20),
    order_rates=(50,),
    orders_s=1,
    listed=(18,),
    relay_rates=(5,),
)


def run_slopes(plan: SlopesPlan, folder: Path, part: str = '') -> Path:
    """Run one part, or all, and return the path of the JSON result.

    Results of parts that are not run are kept from the file that is there.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / RESULT
    found = msgspec.json.decode(path.read_bytes()) if path.exists() else {}
    for name, measure in PARTS.items():
        if part not in {'', name}:
            continue
        found[name] = msgspec.to_builtins(measure(plan))
        text = msgspec.json.format(msgspec.json.encode(found))
        path.write_bytes(text)
    _plot(found, folder / PLOT)
    return path


def _entry(plan: SlopesPlan) -> object:
    return anyio.run(measure_entry, plan.control)


def _agent(plan: SlopesPlan) -> object:
    return anyio.run(measure_agent, plan.control)


def _relay(plan: SlopesPlan) -> object:
    peers = plan.control.peers[:1]
    return [
        anyio.run(
            measure_entry,
            replace(plan.control, peers=peers, load_rate=rate),
        )
        for rate in plan.relay_rates
    ]


def _spread(plan: SlopesPlan) -> object:
    return anyio.run(measure_spread, plan.spread)


def _config(plan: SlopesPlan) -> object:
    return [measure_config(teams) for teams in plan.teams]


def _listing(plan: SlopesPlan) -> object:
    return [measure_listing(count) for count in plan.listed]


def _orders(plan: SlopesPlan) -> object:
    found: list[Any] = []
    for rate in plan.order_rates:
        options = [f'--rate={rate}', f'--duration-s={plan.orders_s}']
        done = subprocess.run(
            [sys.executable, '-m', ORDERS_MODULE, *options],
            stdout=subprocess.PIPE,
            check=True,
        )
        found.append(msgspec.json.decode(done.stdout))
    return found


PARTS: Final = MappingProxyType[str, Callable[[SlopesPlan], object]](
    {
        'entry': _entry,
        'agent': _agent,
        'relay': _relay,
        'config': _config,
        'listing': _listing,
        'orders': _orders,
        'spread': _spread,
    }
)


def _plot(found: dict[str, Any], path: Path) -> None:
    # matplotlib takes a second to import.
    from matplotlib import pyplot as plt

    plt.switch_backend('Agg')
    figure, (cores, sizes, spread) = plt.subplots(1, 3, figsize=(13, 4))
    for role in ('entry', 'agent'):
        idle = found.get(role, {}).get('idle', [])
        peers = [one['peers'] for one in idle]
        shares = [100 * one['core_share'] for one in idle]
        rates = [one['bytes_in_per_s'] + one['bytes_out_per_s'] for one in idle]
        cores.plot(peers, shares, marker='o', label=role)
        sizes.plot(peers, rates, marker='o', label=role)
    runs = found.get('spread', [])
    for key in ('median_s', 'max_s'):
        spread.plot(
            [one['processes'] for one in runs],
            [one[key] for one in runs],
            marker='o',
            label=key,
        )
    cores.set(xlabel='peers, idle', ylabel='% of a core')
    sizes.set(xlabel='peers, idle', ylabel='bytes/s in frames')
    spread.set(xlabel='processes', ylabel='s until in force', xscale='log')
    for axes in (cores, sizes, spread):
        axes.legend()
        axes.grid(visible=True, alpha=0.3)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    plt.close(figure)

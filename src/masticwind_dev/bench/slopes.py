"""Measures how the cost of one process grows with peers, teams and orders.

Each part can run alone. The results of all parts go into one JSON file and
one plot; `docs/CAPACITY.md` extrapolates them to the design scale.
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

from masticwind_dev.bench.slopes_config import TEAM_COUNTS, measure_config
from masticwind_dev.bench.slopes_control import (
    ControlPlan,
    measure_agent,
    measure_entry,
)
from masticwind_dev.bench.slopes_listing import measure_listing
from masticwind_dev.bench.slopes_spread import (
    PropagationPlan,
    measure_propagation,
)

ORDERS_MODULE: Final = 'masticwind_dev.bench.orders'
RESULT_FILE: Final = 'slopes.json'
PLOT_FILE: Final = 'slopes.png'


@dataclass(frozen=True, slots=True, kw_only=True)
class SlopesPlan:
    """Sizes of all parts; a run with the defaults takes under 10 minutes.

    `relay_requests_per_s` are the loads on an entry with the smallest
    number of peers, in requests of `control.tokens_per_request` tokens.
    `orders_per_s` are the loads of the orders part.
    """

    control: ControlPlan = field(default_factory=ControlPlan)
    propagation: PropagationPlan = field(default_factory=PropagationPlan)
    team_counts: tuple[int, ...] = TEAM_COUNTS
    orders_per_s: tuple[int, ...] = (200, 1000, 2000)
    orders_duration_s: float = 10
    instance_counts: tuple[int, ...] = (18, 600, 6930)
    relay_requests_per_s: tuple[int, ...] = (10, 20, 40)


DEFAULT_PLAN: Final = SlopesPlan()
# Checks only that every part runs; the sizes are too small for usable figures.
SHORT_PLAN: Final = SlopesPlan(
    control=ControlPlan(
        peer_counts=(2, 4),
        duration_s=1,
        load_requests_per_s=5,
        tokens_per_request=10,
    ),
    propagation=PropagationPlan(
        process_counts=(3,), team_count=20, change_count=1
    ),
    team_counts=(10, 20),
    orders_per_s=(50,),
    orders_duration_s=1,
    instance_counts=(18,),
    relay_requests_per_s=(5,),
)


def run_slopes(plan: SlopesPlan, folder: Path, part: str = '') -> Path:
    """Run one part, or all, and return the path of the JSON result.

    Results of other parts in an existing file are kept.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / RESULT_FILE
    measured = msgspec.json.decode(path.read_bytes()) if path.exists() else {}
    for name, measure in PARTS.items():
        if part not in {'', name}:
            continue
        measured[name] = msgspec.to_builtins(measure(plan))
        text = msgspec.json.format(msgspec.json.encode(measured))
        path.write_bytes(text)
    _plot(measured, folder / PLOT_FILE)
    return path


def _measure_entry_part(plan: SlopesPlan) -> object:
    return anyio.run(measure_entry, plan.control)


def _measure_agent_part(plan: SlopesPlan) -> object:
    return anyio.run(measure_agent, plan.control)


def _measure_relay_part(plan: SlopesPlan) -> object:
    peer_counts = plan.control.peer_counts[:1]
    return [
        anyio.run(
            measure_entry,
            replace(
                plan.control, peer_counts=peer_counts, load_requests_per_s=rate
            ),
        )
        for rate in plan.relay_requests_per_s
    ]


def _measure_spread_part(plan: SlopesPlan) -> object:
    return anyio.run(measure_propagation, plan.propagation)


def _measure_config_part(plan: SlopesPlan) -> object:
    return [measure_config(teams) for teams in plan.team_counts]


def _measure_listing_part(plan: SlopesPlan) -> object:
    return [measure_listing(count) for count in plan.instance_counts]


def _measure_orders_part(plan: SlopesPlan) -> object:
    reports: list[Any] = []
    for rate in plan.orders_per_s:
        options = [f'--rate={rate}', f'--duration-s={plan.orders_duration_s}']
        completed = subprocess.run(
            [sys.executable, '-m', ORDERS_MODULE, *options],
            stdout=subprocess.PIPE,
            check=True,
        )
        reports.append(msgspec.json.decode(completed.stdout))
    return reports


PARTS: Final = MappingProxyType[str, Callable[[SlopesPlan], object]](
    {
        'entry': _measure_entry_part,
        'agent': _measure_agent_part,
        'relay': _measure_relay_part,
        'config': _measure_config_part,
        'listing': _measure_listing_part,
        'orders': _measure_orders_part,
        'spread': _measure_spread_part,
    }
)


def _plot(measured: dict[str, Any], path: Path) -> None:
    # Imported here because the import of matplotlib takes a second.
    from matplotlib import pyplot as plt

    plt.switch_backend('Agg')
    figure, (cpu_axes, bytes_axes, spread_axes) = plt.subplots(
        1, 3, figsize=(13, 4)
    )
    for role in ('entry', 'agent'):
        idle = measured.get(role, {}).get('idle', [])
        peers = [cost['peers'] for cost in idle]
        shares = [100 * cost['core_share'] for cost in idle]
        rates = [
            cost['bytes_in_per_s'] + cost['bytes_out_per_s'] for cost in idle
        ]
        cpu_axes.plot(peers, shares, marker='o', label=role)
        bytes_axes.plot(peers, rates, marker='o', label=role)
    runs = measured.get('spread', [])
    for key in ('median_s', 'max_s'):
        spread_axes.plot(
            [run['processes'] for run in runs],
            [run[key] for run in runs],
            marker='o',
            label=key,
        )
    cpu_axes.set(xlabel='peers, idle', ylabel='% of a core')
    bytes_axes.set(xlabel='peers, idle', ylabel='bytes/s in frames')
    spread_axes.set(xlabel='processes', ylabel='s until adopted', xscale='log')
    for axes in (cpu_axes, bytes_axes, spread_axes):
        axes.legend()
        axes.grid(visible=True, alpha=0.3)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    plt.close(figure)

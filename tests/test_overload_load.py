"""Simulates loads that the engines have no room for, without a network.

Callers that are refused come back once, at any of the entries. Each load is
played with and without the fair policy, with the same seeds.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from functools import cache
from types import MappingProxyType
from typing import Final

import pytest

from masticwind.serving.placement.prompt_placer import PromptPlacer
from masticwind.serving.settings import OverloadPolicyName
from masticwind_dev.play.simulation import (
    ENGINE_PROFILE,
    REQUEST_CLASSES,
    Workload,
    simulate,
)

SEEDS: Final = range(6)
POLICIES: Final[tuple[OverloadPolicyName, ...]] = ('refuse_late', 'fair')
# The engines of the first deployment under hard load; news between entries
# takes as long as a crossing of zones.
BURST: Final = Workload(
    engine_count=14,
    profile=replace(ENGINE_PROFILE, slots=6, steps_per_iteration=52),
    entry_count=8,
    update_delay_s=0.0035,
)
TEAMS: Final = 10
LARGE: Final = 'large'
SMALL: Final = tuple(f'small-{number}' for number in range(TEAMS))
SHORT: Final = REQUEST_CLASSES['short']
# One large team asks for 2.5 times as much as the ten small ones together.
CROWDED: Final = replace(
    BURST,
    classes=MappingProxyType(
        {
            LARGE: replace(SHORT, requests_per_s=45, team=LARGE),
            **{
                name: replace(SHORT, requests_per_s=1.8, team=name)
                for name in SMALL
            },
        }
    ),
    phases=(MappingProxyType({name: 1.0 for name in (LARGE, *SMALL)}),),
)
LOADS: Final = MappingProxyType(
    {
        'burst': BURST,
        'burst on half of the engines': replace(BURST, engine_count=7),
        'crowded': CROWDED,
    }
)


@dataclass(slots=True)
class _Totals:
    requests: int = 0
    served: int = 0
    late: int = 0
    refused: int = 0
    refused_again: int = 0
    earned: float = 0


@cache
def _play(load: str, overload: OverloadPolicyName) -> Mapping[str, _Totals]:
    """Return the totals over all seeds, by class and of `all`."""
    workload = replace(LOADS[load], overload=overload)
    totals = {name: _Totals() for name in (*workload.classes, 'all')}
    for seed in SEEDS:
        for name, played in simulate(PromptPlacer, workload, seed).items():
            for total in (totals[name], totals['all']):
                total.requests += played.requests
                total.served += played.on_target + played.late
                total.late += played.late
                total.refused += played.refused
                total.refused_again += played.refused_again
                total.earned += played.earned_value
    return totals


@pytest.mark.parametrize('load', list(LOADS))
def test_fewer_callers_are_refused_twice(load: str) -> None:
    """Guards against callers who are told to come back while there is still
    no room, under a burst of short prompts and beside a large team.
    """
    off, fair = (_play(load, name)['all'] for name in POLICIES)
    assert fair.refused_again < off.refused_again
    assert fair.served > off.served


def test_prompts_of_a_burst_earn_no_less() -> None:
    """Guards against late answers that cost others their targets, under short
    prompts that are 2.4 times as frequent, on engines of 6 slots.

    A long prompt earns 17 times as much, so that a single one would decide.
    """
    off, fair = (_play('burst', name)['short'] for name in POLICIES)
    assert fair.earned >= off.earned


def test_small_teams_are_served_beside_a_large_one() -> None:
    """Guards against a large team that crowds out ten small ones: what each of
    them asks for is less than its share of the engines.
    """
    off, fair = (_play('crowded', name) for name in POLICIES)
    for name in SMALL:
        assert fair[name].served >= 0.99 * fair[name].requests
        assert fair[name].earned > off[name].earned
    assert fair['all'].earned >= off['all'].earned
    assert fair[LARGE].served > fair[LARGE].requests / (TEAMS + 1)

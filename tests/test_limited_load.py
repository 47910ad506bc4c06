"""Simulates loads of which engines limit their requests, without a network.

Teams that pay and teams that do not send the same short prompts. Some engines
limit their requests, as engines in need do.
"""

from collections.abc import Mapping
from dataclasses import replace
from types import MappingProxyType
from typing import Final

from masticwind.serving.placement.prompt_placer import PromptPlacer
from masticwind_dev.play.simulation import (
    REQUEST_CLASSES,
    ClassResult,
    Workload,
    simulate,
)

ENGINES: Final = 14
PAID: Final = replace(REQUEST_CLASSES['short'], requests_per_s=10, priority=0)
FREE: Final = replace(PAID, requests_per_s=6, priority=5)
FACTORS: Final = MappingProxyType({'paid': 1.0, 'free': 1.0})
LOAD: Final = Workload(
    engine_count=ENGINES,
    phases=(FACTORS, FACTORS),
    classes=MappingProxyType({'paid': PAID, 'free': FREE}),
)
SEEDS: Final = range(3)
MIN_SERVED: Final = 0.99


def _served(limits_per_s: tuple[float, ...]) -> Mapping[str, float]:
    """Return the share of requests that are served, by class."""
    workload = replace(LOAD, limits_per_s=limits_per_s)
    totals = {name: ClassResult() for name in LOAD.classes}
    for seed in SEEDS:
        for name, played in simulate(PromptPlacer, workload, seed).items():
            totals[name].requests += played.requests
            totals[name].unserved += played.unserved
    return {
        class_name: 1 - total.unserved / total.requests
        for class_name, total in totals.items()
    }


def test_all_callers_are_served_while_a_third_of_the_engines_is_limited() -> (
    None
):
    """Guards against requests that queue for limited engines in vain."""
    assert min(_served((1.0,) * (ENGINES // 3)).values()) >= MIN_SERVED


def test_paying_callers_go_first_if_all_engines_are_limited() -> None:
    """Guards against free work that uses up what limited engines take."""
    limits_per_s = (1 / 2,) * ENGINES
    served = _served(limits_per_s)
    equal_share = sum(limits_per_s) / (
        PAID.requests_per_s + FREE.requests_per_s
    )
    assert served['paid'] >= equal_share
    assert served['free'] <= equal_share / 2

"""Simulates loads of which engines ask for a pause, without a network.

Teams that pay and teams that do not send the same short prompts, as in the
loads of which engines limit their requests.
"""

from collections.abc import Mapping
from dataclasses import replace
from typing import Final

from masticwind.serving.placement.prompt_placer import PromptPlacer
from masticwind_dev.play.simulation import ClassResult, simulate
from tests.test_limited_load import ENGINES, LOAD, MIN_SERVED, SEEDS

PAUSE_S: Final = 4.0
DURATION_S: Final = 19.0


def _served(pausing_engines: int) -> Mapping[str, float]:
    """Return the share of requests that are served, by class."""
    workload = replace(
        LOAD, pausing_engines=pausing_engines, pause_at_s=5, pause_s=PAUSE_S
    )
    totals = {name: ClassResult() for name in LOAD.classes}
    for seed in SEEDS:
        for name, played in simulate(PromptPlacer, workload, seed).items():
            totals[name].requests += played.requests
            totals[name].unserved += played.unserved
    return {
        class_name: 1 - total.unserved / total.requests
        for class_name, total in totals.items()
    }


def test_all_callers_are_served_while_a_third_of_the_engines_pauses() -> None:
    """Guards against requests that wait for engines that pause."""
    assert min(_served(ENGINES // 3).values()) >= MIN_SERVED


def test_paying_callers_go_first_if_all_engines_pause() -> None:
    """Guards against free work that gets the first places after a pause, and
    against callers that are refused for longer than the engines pause.
    """
    served = _served(ENGINES)
    assert served['paid'] >= served['free']
    assert served['paid'] >= 1 - (PAUSE_S + 1) / DURATION_S

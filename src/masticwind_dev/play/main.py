"""Command line of the play.

    python -m masticwind_dev.play.main --seeds 6

Prints, for each placer and number of engines, the earned share of what is
owed and the share of each class within its aim.
"""

import random
from typing import Final

import cyclopts

from masticwind.serving.prompt_placer import PromptPlacer
from masticwind_dev.play.baselines import least_outstanding, round_robin
from masticwind_dev.play.load import (
    CLASSES,
    Outcome,
    PlacerMaker,
    Sheet,
    play,
)

PLACERS: Final[tuple[PlacerMaker, ...]] = (
    PromptPlacer,
    least_outstanding,
    round_robin,
)
# All engines of the sheets, a zone less, half of them, and what is left when
# a zone is out and engines leave.
ENGINES: Final = (14, 10, 7, 4)

cli = cyclopts.App(name='play', help="Play the users' load without a network.")


@cli.default
def main(*, seeds: int = 6) -> None:
    """Play SEEDS days for each placer and number of engines."""
    for engines in ENGINES:
        for make in PLACERS:
            days = [
                play(make, Sheet(engines=engines), seed)
                for seed in range(seeds)
            ]
            print(f'{engines} engines, {_name(make)}: {_line(days)}')


def _name(make: PlacerMaker) -> str:
    return type(make(random.Random())).__name__


def _line(days: list[dict[str, Outcome]]) -> str:
    owed = sum(one.owed for day in days for one in day.values())
    earned = sum(one.earned for day in days for one in day.values())
    shares = [f'credit {earned / owed:.3f}']
    for name in CLASSES:
        asked = sum(day[name].asked for day in days)
        in_aim = sum(day[name].in_aim for day in days)
        shares.append(f'{name} {in_aim / asked:.2f}')
    return ', '.join(shares)


if __name__ == '__main__':
    cli()

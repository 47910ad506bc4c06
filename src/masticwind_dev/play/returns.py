"""Entries of a simulation that promise room to the callers that they refuse."""

import random
from collections.abc import Sequence
from functools import partial

from masticwind.serving.admission.fair_overload import FairOverload
from masticwind.serving.admission.return_promises import (
    PromiseBook,
    ReturnMessage,
)
from masticwind.serving.placement.placer import Placer
from masticwind.serving.placement.prompt_placer import PromptPlacer
from masticwind_dev.play.engines import SimulationClock


def exchanged_books(
    clock: SimulationClock, entry_count: int, delay_s: float
) -> list[PromiseBook]:
    """Return the promises of each entry, which reach the others late."""
    books: list[PromiseBook] = []

    def now() -> float:
        return clock.now

    def announce(sender: int, message: ReturnMessage) -> None:
        for receiver, book in enumerate(books):
            if receiver != sender:
                clock.schedule(
                    clock.now + delay_s, partial(book.adopt, message)
                )

    books.extend(
        PromiseBook(partial(announce, number), now)
        for number in range(entry_count)
    )
    return books


def fair_placers(
    books: Sequence[PromiseBook], rngs: Sequence[random.Random]
) -> list[Placer]:
    """Return the placers of the entries that have these promises."""
    return [
        PromptPlacer(rng, FairOverload(book, _ignore_decision, rng))
        for book, rng in zip(books, rngs, strict=True)
    ]


def _ignore_decision(_decision: str) -> None:
    """Results of a simulation tell what callers see."""

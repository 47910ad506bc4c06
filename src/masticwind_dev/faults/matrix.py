"""The table of the fault matrix: which fault at which step, and why not."""

import itertools
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """A fault and what it strikes.

    `harmless` faults may fail no request: the design promises that requests
    resume or are retried. `ends_entry` faults break callers' connections.
    """

    name: str
    strikes: str
    harmless: bool = False
    ends_entry: bool = False


FAULTS: Final = (
    Fault(name='kill-entry', strikes='entry', ends_entry=True),
    Fault(name='stop-entry', strikes='entry'),
    Fault(name='kill-agent', strikes='agent'),
    Fault(name='stop-agent', strikes='agent'),
    Fault(name='kill-engine', strikes='engine'),
    Fault(name='stop-engine', strikes='engine'),
    Fault(name='silent', strikes='link', harmless=True),
    Fault(name='reset', strikes='link', harmless=True),
    Fault(name='delay', strikes='link', harmless=True),
    Fault(name='lost-response', strikes='link', harmless=True),
    Fault(name='kv-outage', strikes='keyvalue', harmless=True),
    Fault(name='kv-slow', strikes='keyvalue', harmless=True),
    Fault(name='kv-lost-write', strikes='keyvalue', harmless=True),
    Fault(name='lapsed-lease', strikes='lease'),
    Fault(name='cold', strikes='engine'),
    Fault(name='zone-out', strikes='config', harmless=True),
    Fault(name='race', strikes='config', harmless=True),
)

SERVICE_FAULTS: Final = (
    Fault(name='kill-service', strikes='service'),
    Fault(name='stop-service', strikes='service'),
    Fault(name='lost-answer', strikes='service'),
)

MODEL_STEPS: Final = (
    'offer',
    'accepted',
    'streaming',
    'ending',
    'cancel',
    'apply',
    'drain',
)
CALL_STEPS: Final = ('claim', 'send', 'result')
PAIR_STEPS: Final = ('offer', 'streaming')
# One cell of every fault for each kind of request, for a short run.
QUICK_STEPS: Final = ('streaming', 'send')

NO_LEASE: Final = 'no step of a request holds a lease'
NO_ENGINE: Final = 'a plain service has no engine'
_EXCLUSIVE: Final = MappingProxyType[tuple[str, ...], str](
    {
        ('kill-entry', 'stop-entry'): 'a dead process cannot be paused',
        ('kill-agent', 'stop-agent'): 'a dead process cannot be paused',
        ('kill-engine', 'stop-engine'): 'a dead process cannot be paused',
        ('kv-outage', 'kv-slow'): 'an outage hides slowness',
        ('kv-outage', 'kv-lost-write'): 'no write takes effect in an outage',
    }
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Cell:
    """One or two faults at one step.

    A cell with a `reason` makes no sense and is not run.
    """

    faults: tuple[Fault, ...]
    step: str
    reason: str = ''

    @property
    def name(self) -> str:
        """Name by which the command line selects the cell."""
        return f'{"+".join(one.name for one in self.faults)}@{self.step}'

    @property
    def calls(self) -> bool:
        """Whether the cell is about calls of plain services."""
        return self.step in CALL_STEPS


def all_cells() -> tuple[Cell, ...]:
    """Return the whole table in a fixed order."""
    cells = [
        _cell((fault,), step)
        for fault in FAULTS
        for step in (*MODEL_STEPS, *CALL_STEPS)
    ]
    cells.extend(
        _cell((fault,), step) for fault in SERVICE_FAULTS for step in CALL_STEPS
    )
    for pair in itertools.combinations(FAULTS, 2):
        cells.extend(_cell(pair, step) for step in PAIR_STEPS)
    return tuple(cells)


def quick_cells() -> tuple[Cell, ...]:
    """Return the subset for continuous integration."""
    return tuple(
        one
        for one in all_cells()
        if len(one.faults) == 1 and one.step in QUICK_STEPS
    )


def _cell(faults: tuple[Fault, ...], step: str) -> Cell:
    names = tuple(one.name for one in faults)
    reason = _EXCLUSIVE.get(names, '')
    if 'lapsed-lease' in names:
        reason = NO_LEASE
    elif step in CALL_STEPS and faults[0].strikes == 'engine':
        reason = NO_ENGINE
    return Cell(faults=faults, step=step, reason=reason)

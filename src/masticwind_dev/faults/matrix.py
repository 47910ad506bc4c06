"""Table of the fault matrix: faults, steps and the cells to skip."""

import itertools
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """A fault and the part of the system that it affects.

    A masked fault (`is_masked`) must not fail any request: requests are
    resumed or retried. A fault that kills the entry (`kills_entry`) also
    breaks the connections of its callers.
    """

    name: str
    target: str
    is_masked: bool = False
    kills_entry: bool = False


FAULTS: Final = (
    Fault(name='kill-entry', target='entry', kills_entry=True),
    Fault(name='stop-entry', target='entry'),
    Fault(name='kill-agent', target='agent'),
    Fault(name='stop-agent', target='agent'),
    Fault(name='kill-engine', target='engine'),
    Fault(name='stop-engine', target='engine'),
    Fault(name='silent', target='link', is_masked=True),
    Fault(name='reset', target='link', is_masked=True),
    Fault(name='delay', target='link', is_masked=True),
    Fault(name='lost-response', target='link', is_masked=True),
    Fault(name='kv-outage', target='keyvalue', is_masked=True),
    Fault(name='kv-slow', target='keyvalue', is_masked=True),
    Fault(name='kv-lost-write', target='keyvalue', is_masked=True),
    Fault(name='lapsed-lease', target='lease'),
    Fault(name='cold', target='engine'),
    Fault(name='zone-out', target='config', is_masked=True),
    Fault(name='race', target='config', is_masked=True),
)

SERVICE_FAULTS: Final = (
    Fault(name='kill-service', target='service'),
    Fault(name='stop-service', target='service'),
    Fault(name='lost-answer', target='service'),
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
# The short run has one cell per fault and kind of request.
QUICK_STEPS: Final = ('streaming', 'send')

NO_LEASE: Final = 'no step of a request holds a lease'
NO_ENGINE: Final = 'a plain service has no engine'
_EXCLUDED_PAIRS: Final = MappingProxyType[tuple[str, ...], str](
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
    """One or two faults that are injected at one step of a request.

    A cell with a `skip_reason` is not run.
    """

    faults: tuple[Fault, ...]
    step: str
    skip_reason: str = ''

    @property
    def name(self) -> str:
        """Name of the cell on the command line: `fault[+fault]@step`."""
        return f'{"+".join(fault.name for fault in self.faults)}@{self.step}'

    @property
    def is_service_call(self) -> bool:
        """Whether the step belongs to a call of a plain service."""
        return self.step in CALL_STEPS


def all_cells() -> tuple[Cell, ...]:
    """Return all cells of the table in a fixed order."""
    cells = [
        _create_cell((fault,), step)
        for fault in FAULTS
        for step in (*MODEL_STEPS, *CALL_STEPS)
    ]
    cells.extend(
        _create_cell((fault,), step)
        for fault in SERVICE_FAULTS
        for step in CALL_STEPS
    )
    for pair in itertools.combinations(FAULTS, 2):
        cells.extend(_create_cell(pair, step) for step in PAIR_STEPS)
    return tuple(cells)


def quick_cells() -> tuple[Cell, ...]:
    """Return the cells for continuous integration."""
    return tuple(
        cell
        for cell in all_cells()
        if len(cell.faults) == 1 and cell.step in QUICK_STEPS
    )


def _create_cell(faults: tuple[Fault, ...], step: str) -> Cell:
    names = tuple(fault.name for fault in faults)
    skip_reason = _EXCLUDED_PAIRS.get(names, '')
    if 'lapsed-lease' in names:
        skip_reason = NO_LEASE
    elif step in CALL_STEPS and faults[0].target == 'engine':
        skip_reason = NO_ENGINE
    return Cell(faults=faults, step=step, skip_reason=skip_reason)

"""The text form of the fleet's status: one table for each part."""

from collections.abc import Iterable, Sequence
from typing import Any, Final

GAP: Final = '  '
SERVED: Final = 'served'

Row = Sequence[object]


def format_status(status: dict[str, Any]) -> list[str]:
    """Return the lines of the answer of `/admin/v1/status`.

    A process whose generation is not the one in force is marked.
    """
    number = status['generation']
    return [
        f'generation {number}',
        '',
        *_table(('PROCESS', 'GENERATION', ''), _processes(status)),
        '',
        *_table(
            ('ZONE', 'ENDPOINT', 'STATE', 'RUNNING', 'QUEUED', 'MEMORY FREE'),
            _endpoints(status['zones']),
        ),
        '',
        *_table(
            ('TIER', 'SERVED', 'OTHER', 'LAST MINUTE'),
            _service(status['service_last_minute']),
        ),
    ]


def _processes(status: dict[str, Any]) -> Iterable[Row]:
    for name, number in sorted(status['processes'].items()):
        mark = '' if number == status['generation'] else 'differs'
        yield name, number, mark


def _endpoints(zones: dict[str, dict[str, Any]]) -> Iterable[Row]:
    for zone, endpoints in sorted(zones.items()):
        for name, one in sorted(endpoints.items()):
            total = one.get('memory_total_tokens', 0)
            free = one.get('memory_free_tokens', 0)
            yield [
                zone,
                name,
                one['state'],
                one.get('running', '-'),
                one.get('queued', '-'),
                f'{free} of {total}' if total else '-',
            ]


def _service(tiers: dict[str, dict[str, int]]) -> Iterable[Row]:
    for tier, outcomes in sorted(tiers.items()):
        others = {
            kind: count
            for kind, count in sorted(outcomes.items())
            if kind != SERVED
        }
        kinds = ' '.join(f'{kind}={count}' for kind, count in others.items())
        yield tier, outcomes.get(SERVED, 0), sum(others.values()), kinds


def _table(head: Row, rows: Iterable[Row]) -> list[str]:
    cells = [[str(one) for one in row] for row in (head, *rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        GAP.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]

"""Formats the status of the fleet as text, one table for each section."""

from collections.abc import Iterable, Sequence
from typing import Any, Final

COLUMN_GAP: Final = '  '
SERVED: Final = 'served'

Row = Sequence[object]


def format_status(status: dict[str, Any]) -> list[str]:
    """Return the response of `/admin/v1/status` as lines of text.

    A process whose generation is not the current one is marked.
    """
    number = status['generation']
    return [
        f'generation {number}',
        '',
        *format_table(('PROCESS', 'GENERATION', ''), _process_rows(status)),
        '',
        *format_table(
            ('ZONE', 'ENDPOINT', 'STATE', 'RUNNING', 'QUEUED', 'MEMORY FREE'),
            _endpoint_rows(status['zones']),
        ),
        '',
        *format_table(
            ('TIER', 'SERVED', 'OTHER', 'LAST MINUTE'),
            _tier_rows(status['service_last_minute']),
        ),
    ]


def _process_rows(status: dict[str, Any]) -> Iterable[Row]:
    for name, number in sorted(status['processes'].items()):
        mark = '' if number == status['generation'] else 'differs'
        yield name, number, mark


def _endpoint_rows(zones: dict[str, dict[str, Any]]) -> Iterable[Row]:
    for zone, endpoints in sorted(zones.items()):
        for name, endpoint in sorted(endpoints.items()):
            total = endpoint.get('memory_total_tokens', 0)
            free = endpoint.get('memory_free_tokens', 0)
            yield [
                zone,
                name,
                endpoint['state'],
                endpoint.get('running', '-'),
                endpoint.get('queued', '-'),
                f'{free} of {total}' if total else '-',
            ]


def _tier_rows(tiers: dict[str, dict[str, int]]) -> Iterable[Row]:
    for tier, outcomes in sorted(tiers.items()):
        failures = {
            kind: count
            for kind, count in sorted(outcomes.items())
            if kind != SERVED
        }
        kinds = ' '.join(f'{kind}={count}' for kind, count in failures.items())
        yield tier, outcomes.get(SERVED, 0), sum(failures.values()), kinds


def format_table(header: Row, rows: Iterable[Row]) -> list[str]:
    """Return the lines of a table with aligned columns."""
    cells = [[str(cell) for cell in row] for row in (header, *rows)]
    column_widths = [
        max(map(len, column)) for column in zip(*cells, strict=True)
    ]
    return [
        COLUMN_GAP.join(
            cell.ljust(width)
            for cell, width in zip(row, column_widths, strict=True)
        ).rstrip()
        for row in cells
    ]

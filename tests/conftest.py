"""Fixtures, and the skipping of known failures in KNOWN-RED.txt."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from loguru import logger

KNOWN_RED_FILE = Path(__file__).parent.parent / 'KNOWN-RED.txt'


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    """Run asynchronous tests on the event loop of the programs."""
    return 'asyncio', {'use_uvloop': True}


@pytest.fixture
def errors() -> Iterator[list[Any]]:
    """Collect the log records of errors."""
    records: list[Any] = []
    handler_id = logger.add(
        lambda message: records.append(message.record), level='ERROR'
    )
    yield records
    logger.remove(handler_id)


def _known_red_tests() -> set[str]:
    if not KNOWN_RED_FILE.exists():
        return set()
    names: set[str] = set()
    for line in KNOWN_RED_FILE.read_text().splitlines():
        if line.startswith('test: '):
            names.add(line.removeprefix('test: ').strip())
    return names


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Skip exactly the tests that KNOWN-RED.txt lists."""
    known_red_tests = _known_red_tests()
    for item in items:
        if item.nodeid in known_red_tests:
            item.add_marker(pytest.mark.skip(reason='KNOWN-RED.txt'))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the skipped tests."""
    for name in sorted(_known_red_tests()):
        terminalreporter.write_line(f'known red, passed over: {name}')

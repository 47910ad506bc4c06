"""The log lines from which an operator can explain a decision."""

from collections.abc import Iterator
from http import HTTPStatus
from typing import Any

import pytest
from loguru import logger

from tests.entry_harness import answer_whole, running_entry

pytestmark = pytest.mark.anyio


@pytest.fixture
def log_records() -> Iterator[list[dict[str, Any]]]:
    """Collect the log records of a test with their fields."""
    records: list[dict[str, Any]] = []

    def collect(message: Any) -> None:
        record = message.record
        records.append({'event': record['message'], **record['extra']})

    handler_id = logger.add(collect, level='DEBUG')
    yield records
    logger.remove(handler_id)


def _first_record(
    log_records: list[dict[str, Any]], event: str
) -> dict[str, Any]:
    return next(record for record in log_records if record['event'] == event)


async def test_decisions_log_the_age_of_the_configuration(
    log_records: list[dict[str, Any]],
) -> None:
    """Guards against logged routing decisions without the version and the age
    of the configuration on which they were based.
    """
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_whole)
        await harness.wait_until_served('/read/a')
        log_records.clear()
        served = await harness.request('/read/a')
        refused = await harness.request('/nowhere/a')
    assert served.status == HTTPStatus.OK
    assert refused.status == HTTPStatus.NOT_FOUND
    for event in ('attempt_sent', 'request_failed'):
        record = _first_record(log_records, event)
        assert record['config_version'] == 3
        assert 0 <= record['config_age_s'] < 2

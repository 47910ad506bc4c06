"""Answers of endpoints whose heads the entry's server cannot send."""

import json

import pytest

from masticwind_dev.standins.raw_endpoint import RawConnection, ReceivedRequest
from tests.entry_harness import answer_completely, running_entry

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize('status', [600, 999])
async def test_answer_with_an_unknown_status_is_a_failure(status: int) -> None:
    """Guards against a connection that is closed without an answer."""

    async def script(req: ReceivedRequest, conn: RawConnection) -> None:
        await conn.send_answer(req, status)

    async with running_entry() as harness:
        endpoint = await harness.start_endpoint('e1', answer_completely)
        await harness.wait_until_served('/read/1')
        endpoint.script = script
        answer = await harness.request('/read/1')
    assert answer.status == 502
    error = json.loads(answer.body)['error']
    assert error['kind'] == 'failed_after_start'


@pytest.mark.parametrize('status', [200, 404])
@pytest.mark.parametrize('control', ['\x01', '\x1f', '\x7f'])
async def test_answer_with_control_characters_is_passed_on(
    status: int, control: str
) -> None:
    """Guards against a connection that is closed without an answer."""

    async def script(req: ReceivedRequest, conn: RawConnection) -> None:
        await conn.send_answer(
            req, status, headers=(f'X-Note: a{control}b\tc',)
        )

    async with running_entry() as harness:
        endpoint = await harness.start_endpoint('e1', answer_completely)
        await harness.wait_until_served('/read/1')
        endpoint.script = script
        answer = await harness.request('/read/1')
    assert (answer.status, answer.body) == (status, b'done')
    assert answer.headers['x-note'] == 'a b\tc'

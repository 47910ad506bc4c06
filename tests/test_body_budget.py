"""Bodies of callers while the process has no memory left for them."""

import pytest

from masticwind.serving.byte_budget import ByteBudget
from tests.entry_harness import answer_completely, running_entry

pytestmark = pytest.mark.anyio


async def test_body_is_refused_before_it_is_sent_when_memory_is_spent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against callers' bodies that fill the memory, and against a
    refusal of a request that has been sent.
    """
    async with running_entry() as harness:
        endpoint = await harness.start_endpoint('i-1', answer_completely)
        await harness.wait_until_served('/read/a', request_id='warm')
        with monkeypatch.context() as patch:
            patch.setattr(
                ByteBudget, 'try_take', lambda _budget, size: not size
            )
            refused = await harness.request(
                '/order/a', method='POST', body=b'x'
            )
            empty = await harness.request('/order/a', method='POST')
        served = await harness.request('/order/a', method='POST', body=b'x')
    assert refused.status == 503
    assert 'retry-after' in refused.headers
    assert empty.status == 200
    assert empty.body == b'done'
    assert served.status == 200
    orders = [req for req in endpoint.received if req.target == '/order/a']
    assert [req.body for req in orders] == [b'', b'x']

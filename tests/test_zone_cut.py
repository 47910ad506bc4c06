"""A network partition between zones whose engines share prefills."""

from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

import pytest

from masticwind_dev.standins.raw_endpoint import (
    RawConnection,
    Received,
    Script,
    head,
)
from tests.entry_harness import (
    CALLS,
    ENGINES,
    answer_events,
    answer_whole,
    prompt_headers,
    running_entry,
)

pytestmark = pytest.mark.anyio

ENGINES_PER_ZONE: Final[Mapping[str, int]] = MappingProxyType(
    {'zone-a': 5, 'zone-b': 8}
)


def _partitioned_engine(zone: str, zone_of: Mapping[str, str]) -> Script:
    """Return an engine that cannot reach the engines of other zones.

    It refuses a prompt with helpers of another zone, and the refusal names
    the first of these.
    """

    async def serve(req: Received, conn: RawConnection) -> None:
        for helper in req.headers.get('x-helpers', '').split(','):
            address = helper.partition('/')[0]
            if address and zone_of[address] != zone:
                fields = (
                    'X-Not-Executed: 1',
                    f'At-Server: {address}',
                    'Content-Length: 0',
                )
                await conn.write(head(req, 503, fields))
                return
        await answer_events(req, conn)

    return serve


async def test_long_prompt_is_served_despite_a_partition_between_zones() -> (
    None
):
    """Guards against a long prompt that is refused within milliseconds,
    although seconds are left: each refusal of a lead engine names one helper
    that it cannot reach, while no helper of that zone is reachable.
    """
    zone_of: dict[str, str] = {}
    async with running_entry() as harness:
        for zone, count in ENGINES_PER_ZONE.items():
            for number in range(count):
                name = f'{zone}-{number}'
                script = _partitioned_engine(zone, zone_of)
                engine = await harness.start_endpoint(
                    name, script, ENGINES, zone=zone
                )
                zone_of[f'127.0.0.1:{engine.port}'] = zone
        await harness.start_endpoint('i-1', answer_whole, CALLS)
        await harness.wait_until_served('/read/a')
        answer = await harness.request(
            '/chat/a',
            method='POST',
            headers=prompt_headers(tokens=200_000),
        )
    assert answer.status == HTTPStatus.OK

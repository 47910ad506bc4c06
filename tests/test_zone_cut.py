"""A cut between two availability zones whose engines read prompts together."""

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
from tests.direct_rig import (
    CALLS,
    ENGINES,
    answer_events,
    answer_whole,
    direct_rig,
    prompt_headers,
)

pytestmark = pytest.mark.anyio

ZONES: Final[Mapping[str, int]] = MappingProxyType({'zone-a': 5, 'zone-b': 8})


def _cut_off(zone: str, zone_of: Mapping[str, str]) -> Script:
    """Return an engine of a zone that refuses prompts for which it needs an
    engine of another zone; the refusal names the first one.
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


async def test_long_prompt_is_served_beside_a_cut_between_two_zones() -> None:
    """Guards against a prompt that is refused within milliseconds, with
    seconds left, because each refusal of a leading engine tells of one
    engine only that it does not reach: all those of a zone are cut off.
    """
    zone_of: dict[str, str] = {}
    async with direct_rig() as rig:
        for zone, count in ZONES.items():
            for number in range(count):
                name = f'{zone}-{number}'
                script = _cut_off(zone, zone_of)
                engine = await rig.start_endpoint(
                    name, script, ENGINES, zone=zone
                )
                zone_of[f'127.0.0.1:{engine.port}'] = zone
        await rig.start_endpoint('i-1', answer_whole, CALLS)
        await rig.wait_until_served('/read/a')
        answer = await rig.request(
            '/chat/a',
            method='POST',
            headers=prompt_headers(tokens=200_000),
        )
    assert answer.status == HTTPStatus.OK

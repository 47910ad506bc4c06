"""An entry with endpoints that fall silent, and routes that allow retries."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from masticwind_dev.standins.raw_endpoint import Script
from tests.entry_harness import (
    CALL_SERVICE,
    EntryHarness,
    running_entry,
    sample_config_document,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class SilentFleetOptions:
    """The endpoints, and the limits of the routes.

    `max_attempts` does not apply to orders.
    """

    timeout_ms: int
    service: str = CALL_SERVICE
    count: int = 2
    max_attempts: int = 3


@asynccontextmanager
async def running_silent_fleet(
    script: Script, options: SilentFleetOptions
) -> AsyncIterator[EntryHarness]:
    """Run an entry that knows its endpoints, all of which run the script."""
    document = sample_config_document()
    for route in document['routes']:
        route['timeout_ms'] = options.timeout_ms
        if route['name'] != 'order':
            route['max_attempts'] = options.max_attempts
    async with running_entry(document) as harness:
        for number in range(1, options.count + 1):
            await harness.start_endpoint(f'e-{number}', script, options.service)
        await harness.wait_until_endpoints_known()
        yield harness

"""Measures how long large bodies stall the event loop of an entry.

    python -m masticwind_dev.bench.stalls

A ticker on the loop notes the largest delay between two of its turns while
bodies are decoded, joined and hashed.
"""

import time
import tracemalloc
from collections.abc import Iterator
from typing import Final

import anyio
import msgspec

from masticwind.budget import MS_PER_S
from masticwind.entry.chat_body import ChatBodyDecoder
from masticwind.errors import Failure

MEGABYTE: Final = 1_000_000
TICK_S: Final = 0.001
CONCURRENT: Final = 4


def _bodies() -> Iterator[tuple[str, bytes]]:
    for megabytes in (4, 8, 32):
        yield f'{megabytes} MB plain', _body('x' * megabytes * MEGABYTE)
    yield '32 MB escapes', _body('\n' * 16 * MEGABYTE)
    yield '32 MB Finnish', _body('ä' * 16 * MEGABYTE)
    yield '20,000 messages', _body(*('x' * 1500 for _ in range(20_000)))
    yield '400,000 messages', _body(*('x' for _ in range(400_000)))
    numbers = b'1,' * (16 * MEGABYTE)
    yield (
        '32 MB ignored field',
        b'{"ignored":[%b1],%b' % (numbers, _body('x')[1:]),
    )


def _body(*texts: str) -> bytes:
    return msgspec.json.encode(
        {
            'model': 'standard',
            'messages': [{'role': 'user', 'content': text} for text in texts],
        }
    )


class _Ticker:
    def __init__(self) -> None:
        self.largest_s = 0.0

    async def run(self) -> None:
        while True:
            before = time.monotonic()
            await anyio.sleep(TICK_S)
            delay_s = time.monotonic() - before - TICK_S
            self.largest_s = max(self.largest_s, delay_s)


async def _prepare(body: bytes, decoder: ChatBodyDecoder) -> None:
    outcome = await decoder.decode(bytearray(body))
    if isinstance(outcome, Failure):
        print(f'  refused: {outcome.reason}')


async def _measure(name: str, body: bytes) -> None:
    decoder, ticker = ChatBodyDecoder(), _Ticker()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ticker.run)
        await anyio.sleep(TICK_S * 10)
        async with anyio.create_task_group() as requests:
            for _ in range(CONCURRENT):
                requests.start_soon(_prepare, body, decoder)
        tasks.cancel_scope.cancel()
    stall_ms = ticker.largest_s * MS_PER_S
    print(f'{name}: largest stall {stall_ms:.0f} ms')


async def _memory(body: bytes) -> None:
    copy = bytearray(body)
    tracemalloc.start()
    prepared = await ChatBodyDecoder().decode(copy)
    kept, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(
        f'{len(body) / MEGABYTE:.0f} MB body: {kept / MEGABYTE:.1f} MB kept, '
        f'peak {peak / MEGABYTE:.1f} MB beside the body, '
        f'{type(prepared).__name__}'
    )


async def _main() -> None:
    for name, body in _bodies():
        await _measure(name, body)
    await _memory(_body('x' * 4 * MEGABYTE))


if __name__ == '__main__':
    anyio.run(_main, backend_options={'use_uvloop': True})

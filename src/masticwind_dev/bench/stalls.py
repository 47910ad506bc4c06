"""Measures how long large bodies stall the event loop of an entry.

    python -m masticwind_dev.bench.stalls

A task on the loop sleeps for a fixed interval and records the longest
overrun while bodies are decoded, joined and hashed.
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
TICK_INTERVAL_S: Final = 0.001
CONCURRENCY: Final = 4


def _sample_bodies() -> Iterator[tuple[str, bytes]]:
    for megabytes in (4, 8, 32):
        yield (
            f'{megabytes} MB plain',
            _encode_chat_body('x' * megabytes * MEGABYTE),
        )
    yield '32 MB escapes', _encode_chat_body('\n' * 16 * MEGABYTE)
    yield '32 MB Finnish', _encode_chat_body('ä' * 16 * MEGABYTE)
    yield (
        '20,000 messages',
        _encode_chat_body(*('x' * 1500 for _ in range(20_000))),
    )
    yield '400,000 messages', _encode_chat_body(*('x' for _ in range(400_000)))
    numbers = b'1,' * (16 * MEGABYTE)
    yield (
        '32 MB ignored field',
        b'{"ignored":[%b1],%b' % (numbers, _encode_chat_body('x')[1:]),
    )


def _encode_chat_body(*texts: str) -> bytes:
    return msgspec.json.encode(
        {
            'model': 'standard',
            'messages': [{'role': 'user', 'content': text} for text in texts],
        }
    )


class _LoopDelayMonitor:
    def __init__(self) -> None:
        self.max_delay_s = 0.0

    async def run(self) -> None:
        while True:
            before = time.monotonic()
            await anyio.sleep(TICK_INTERVAL_S)
            delay_s = time.monotonic() - before - TICK_INTERVAL_S
            self.max_delay_s = max(self.max_delay_s, delay_s)


async def _decode(body: bytes, decoder: ChatBodyDecoder) -> None:
    outcome = await decoder.decode(bytearray(body))
    if isinstance(outcome, Failure):
        print(f'  refused: {outcome.reason}')


async def _print_stall(name: str, body: bytes) -> None:
    decoder, monitor = ChatBodyDecoder(), _LoopDelayMonitor()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(monitor.run)
        await anyio.sleep(TICK_INTERVAL_S * 10)
        async with anyio.create_task_group() as requests:
            for _ in range(CONCURRENCY):
                requests.start_soon(_decode, body, decoder)
        tasks.cancel_scope.cancel()
    stall_ms = monitor.max_delay_s * MS_PER_S
    print(f'{name}: largest stall {stall_ms:.0f} ms')


async def _print_memory(body: bytes) -> None:
    copy = bytearray(body)
    tracemalloc.start()
    decoded = await ChatBodyDecoder().decode(copy)
    kept, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(
        f'{len(body) / MEGABYTE:.0f} MB body: {kept / MEGABYTE:.1f} MB kept, '
        f'peak {peak / MEGABYTE:.1f} MB beside the body, '
        f'{type(decoded).__name__}'
    )


async def _main() -> None:
    for name, body in _sample_bodies():
        await _print_stall(name, body)
    await _print_memory(_encode_chat_body('x' * 4 * MEGABYTE))


if __name__ == '__main__':
    anyio.run(_main, backend_options={'use_uvloop': True})

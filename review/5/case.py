"""A planned stop of one entry while one engine falls silent for a moment."""

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))
from harness import (  # noqa: E402
    BOUNDS, TROUBLE, CannotRun, Engine, Machine, Store, config, now,
    read_head, route, run,
)

ZONES = ['zone-a', 'zone-b', 'zone-c']
KEY = 'key-held-7d1c'
ROUTES = [
    route('summary', 'streaming', 'pool', timeout_ms=10_000, goal_ms=300,
          gap_target_ms=200, resumable=True, max_attempts=2, sticky=True),
]
SERVICES = [{
    'name': 'pool', 'max_conns': 434, 'engine': {
        'slots': 8, 'kv_capacity': 450_000, 'step_ms': 0.925,
        'per_seq_ms': 0.00966, 'context_per_k': 0.00254,
        'read_per_s': 256000.0, 'pairs_per_m': 0.0917, 'chunk': 2048,
        'stride': 46, 'hop_ms': 0.1,
    },
}]
CLIENTS = 6
EVENT_TOKENS, EVENT_S = 46, 0.044
# Of the planned stop: when the earlier streams of the clients end, and when one
# engine falls silent, both after SIGTERM.
FIRST_END_S = 5.8
SILENT_AT_S, SILENT_FOR_S = 6.05, 1.5


class ModelEngine(Engine):
    """A model engine that writes one event each 46 tokens."""

    silent_until = 0.0

    async def answer(self, method, target, headers, body, writer):
        attempt = headers.get('x-attempt-id', '')
        if headers.get('x-expect-instance', self.id) != self.id:
            return await self._send(writer, attempt, 421, b'', True)
        tokens = int(headers['x-token-counts'].partition(',')[2])
        first = int(headers.get('last-event-id', 0)) + 1
        self.runs.append((attempt, now()))
        self._record(f'engine {self.id}: {attempt} runs from event {first}')
        writer.write((
            f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n'
            'X-Server-Seal: s.1\r\nContent-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        ).encode())
        for number in range(first, tokens // EVENT_TOKENS + 1):
            await asyncio.sleep(EVENT_S)
            if now() < self.silent_until:
                await asyncio.sleep(self.silent_until - now())
            event = f'id: {number}\ndata: {attempt}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        self._record(f'engine {self.id}: {attempt} ends')
        return True


async def stream(record, machine, reader, writer, tokens, results):
    """Send one stream on an open connection; tell whether it may be reused."""
    attempt = f'{random.randrange(1 << 64):016x}'
    result = {'id': attempt, 'machine': machine.name, 'sent': now(),
              'events': 0, 'complete': False, 'status': 0}
    results.append(result)
    keep = False
    try:
        writer.write((
            f'POST /summary/1 HTTP/1.1\r\nHost: case.example\r\n'
            f'X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 10000\r\n'
            f'Authorization: Bearer {KEY}\r\nX-Model: m\r\n'
            f'X-Token-Counts: 1000,{tokens}\r\n'
            f'X-Prompt-Prefix: 5c1e07a2:40,{attempt[:8]}:960\r\n'
            f'Content-Length: 3\r\n\r\nabc'
        ).encode())
        async with asyncio.timeout(13):
            head = await read_head(reader)
            if head is not None:
                result['status'] = int(head[0].split(' ')[1])
                keep = head[1].get('connection', '') != 'close'
                if 'content-length' in head[1]:
                    await reader.readexactly(int(head[1]['content-length']))
                    result['complete'] = True
                while not result['complete']:
                    size = int(await reader.readuntil(b'\r\n'), 16)
                    await reader.readexactly(size + 2)
                    result['events'] += size > 0
                    result['complete'] = size == 0
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        keep = False
    result['ended'] = now()
    record(f'client: {attempt} to {machine.name} sent at {result["sent"]:.3f}'
           f' status {result["status"]}, {result["events"]} of'
           f' {tokens // EVENT_TOKENS} events, complete: {result["complete"]}')
    return keep


async def client(record, machine, results, first_s):
    """Keep a connection: a long stream, then short ones, while it is open."""
    reader, writer = await asyncio.open_connection(machine.ip, machine.port)
    tokens = int(first_s / (EVENT_S + 0.0012)) * EVENT_TOKENS
    try:
        keep = await stream(record, machine, reader, writer, tokens, results)
        while keep:
            keep = await stream(record, machine, reader, writer,
                                7 * EVENT_TOKENS, results)
    finally:
        writer.close()


async def main(record, scratch, machines):
    store = Store(record)
    await store.start()
    engines = [
        ModelEngine(record, store, 'pool', f'i-{number}', zone, slots=8)
        for number, zone in enumerate(ZONES)
    ]
    for engine in engines:
        await engine.start()
    store.write('op/config', config(3, ROUTES, SERVICES, {'museum': [KEY]}))
    machines += [
        Machine(record, store, number, scratch, ZONES) for number in range(2)
    ]
    for machine in machines:
        machine.start()
    for machine in machines:
        await machine.wait_ready()
    await asyncio.sleep(5)
    # The usual load before: streams of both lengths end as expected.
    results = []
    for _ in range(3):
        async def warm(machine):
            reader, writer = await asyncio.open_connection(
                machine.ip, machine.port)
            await stream(record, machine, reader, writer, 7 * EVENT_TOKENS,
                         results)
            writer.close()
        await asyncio.gather(*(
            warm(machine) for machine in machines for _ in range(6)
        ))
    target = machines[0]
    stop_at = now() + 0.5
    calls = []
    for _ in range(CLIENTS):
        first_s = stop_at + FIRST_END_S + random.uniform(-0.1, 0.1) - now()
        calls.append(asyncio.create_task(
            client(record, target, results, first_s)
        ))
        await asyncio.sleep(0.02)
    await asyncio.sleep(max(0.0, stop_at - now()))
    stopped_at = now()
    if TROUBLE:
        target.signal(signal.SIGTERM)
    await asyncio.sleep(SILENT_AT_S)
    if TROUBLE:
        engines[0].silent_until = now() + SILENT_FOR_S
        record(f'engine i-0 is silent for {SILENT_FOR_S} s')
    await asyncio.sleep(BOUNDS['grace_s'] - SILENT_AT_S + 1)
    if TROUBLE:
        record(f'exit code of the entry: {target.process.poll()}')
    for task in calls:
        task.cancel()
    await asyncio.gather(*calls, return_exceptions=True)

    ran = {attempt for engine in engines for attempt, _ in engine.runs}
    lost = [
        one for one in results
        if TROUBLE and one['sent'] > stopped_at + 3 and one['id'] in ran
        and 'ended' in one and not one['complete']
        and one['ended'] < stopped_at + BOUNDS['grace_s'] + 1
    ]
    for one in lost:
        record(f'BROKEN: {one["id"]}, sent {one["sent"] - stopped_at:.2f} s'
               f' after SIGTERM and passed on, is cut'
               f' {one["ended"] - stopped_at:.2f} s after it')
    late = sum(one['sent'] > stopped_at + 3 for one in results)
    complete = sum(one['complete'] for one in results)
    summary = (
        f'{len(results)} streams, {complete} complete, {late} sent later than'
        f' 3 s after SIGTERM, {len(lost)} of these passed on and cut'
    )
    record(summary)
    print(summary)
    if not complete:
        raise CannotRun('nothing was served')
    return 1 if lost else 0


run(main)

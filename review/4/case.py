"""A part of long prompts crashes the engines; it is not among the first ones."""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))
from harness import (  # noqa: E402
    TROUBLE, CannotRun, Engine, Machine, Store, call, config, now, route, run,
)

ZONES = ['zone-a', 'zone-b', 'zone-c']
KEY = 'key-held-7d1c'
ROUTES = [
    route('survey', 'streaming', 'pool', timeout_ms=10_000, goal_ms=1500,
          gap_target_ms=500, resumable=True, max_attempts=2, sticky=True),
]
SERVICES = [{
    'name': 'pool', 'max_conns': 434, 'engine': {
        'slots': 8, 'kv_capacity': 450_000, 'step_ms': 0.925,
        'per_seq_ms': 0.00966, 'context_per_k': 0.00254,
        'read_per_s': 256000.0, 'pairs_per_m': 0.0917, 'chunk': 2048,
        'stride': 46, 'hop_ms': 0.1,
    },
}]
ENGINES = 6
# A session of 70 turns; the header takes about 900 of the 16,384 bytes.
PARTS = 70
PART_TOKENS = 120
POSITION = int(os.environ.get('POSITION', '66'))
POISON = 'deadbeef'
BACK_AFTER_S = 3.0
POISON_INTERVAL_S = 1.5
SOUND_INTERVAL_S = 0.3
CONTACT_S = 3.0
CALM_S = 10.0
LASTS_S = 45.0
# Of each, so many sound requests are needed for a comparison.
MIN_COMPARED = 20
# Requests with the part that may still reach engines after the fifth crash.
MAX_LATE = 3
SHARED = [f'{random.randrange(1 << 32):08x}' for _ in range(PARTS)]


class FragileEngine(Engine):
    """A model engine that crashes as it begins to write on one part."""

    crashes = []
    poisoned = []
    starts = 0

    async def answer(self, method, target, headers, body, writer):
        attempt = headers.get('x-attempt-id', '')
        if headers.get('x-expect-instance', self.id) != self.id:
            return await self._send(writer, attempt, 421, b'', True)
        bad = POISON in headers.get('x-prompt-prefix', '')
        if bad:
            FragileEngine.poisoned.append((attempt, now()))
            self._record(f'engine {self.id}: {attempt} with the part arrives')
        writer.write((
            f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n'
            'X-Server-Seal: s.1\r\nContent-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        ).encode())
        await writer.drain()
        await asyncio.sleep(0.1)
        if bad and TROUBLE:
            FragileEngine.crashes.append(now())
            self._record(f'engine {self.id}: crashes under {attempt}')
            self._beat.cancel()
            self.close()
            asyncio.create_task(self._come_back(self.id))
            return False
        first = int(headers.get('last-event-id', 0)) + 1
        for number in range(first, 6):
            event = f'id: {number}\ndata: {attempt}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True

    async def _come_back(self, former):
        await asyncio.sleep(BACK_AFTER_S)
        FragileEngine.starts += 1
        self.id = f'{former.partition("-r")[0]}-r{FragileEngine.starts}'
        self._born = int(time.time() * 1000)
        self._store.write(f'servers/{former}', None)
        await self.start()


async def main(record, scratch, machines):
    store = Store(record)
    await store.start()
    engines = [
        FragileEngine(record, store, 'pool', f'i-{number}', ZONES[number % 3],
                      slots=8)
        for number in range(ENGINES)
    ]
    for engine in engines:
        await engine.start()
    store.write('op/config', config(3, ROUTES, SERVICES, {'museum': [KEY]}))
    machines += [
        Machine(record, store, number, scratch, ZONES) for number in range(3)
    ]
    for machine in machines:
        machine.start()
    for machine in machines:
        await machine.wait_ready()
    await asyncio.sleep(6)

    results = []
    sound = asyncio.create_task(
        send(record, machines, results, SOUND_INTERVAL_S, poison=False)
    )
    await asyncio.sleep(CALM_S)
    calm_until = now()
    bad = asyncio.create_task(
        send(record, machines, [], POISON_INTERVAL_S, poison=True)
    )
    await asyncio.sleep(LASTS_S)
    for task in (sound, bad):
        task.cancel()
    await asyncio.sleep(1)

    crashes = FragileEngine.crashes
    fifth_at = crashes[4] if len(crashes) > 4 else now()
    late = [
        (attempt, at) for attempt, at in FragileEngine.poisoned
        if at > fifth_at + CONTACT_S
    ]
    for attempt, at in late:
        record(f'LATE: {attempt} reaches an engine {at - fifth_at:.1f} s after'
               f' the fifth crash')
    begun = judge(results, 0, calm_until - 1)
    after = judge(results, fifth_at + 2 * CONTACT_S, now())
    lost = (
        min(begun[1], after[1]) >= MIN_COMPARED
        and after[0] / after[1] < begun[0] / begun[1] / 2
    )
    if lost:
        record('BROKEN: sound requests begin less than half as often')
    summary = (
        f'{len(crashes)} crashes, {len(late)} requests with the part reached'
        f' engines later than contact_ms after the fifth; sound ones begun:'
        f' {begun[0]} of {begun[1]} before, {after[0]} of {after[1]} later than'
        f' 2 x contact_ms after the fifth crash'
    )
    record(summary)
    print(summary)
    if not begun[0]:
        raise CannotRun('nothing was served')
    return 1 if TROUBLE and (lost or len(late) > MAX_LATE) else 0


def judge(results, since, until):
    """Return how many sound requests of a time have begun, and how many came."""
    sent = [one for one in results if since <= one['sent'] <= until]
    return sum(one['status'] == 200 for one in sent), len(sent)


async def send(record, machines, results, interval_s, *, poison):
    number = 0
    while True:
        number += 1
        asyncio.create_task(one(
            record, machines[number % len(machines)], results, poison
        ))
        await asyncio.sleep(interval_s)


async def one(record, machine, results, poison):
    parts = SHARED.copy()
    if poison:
        parts[POSITION] = POISON
    parts[-1] = f'{random.randrange(1 << 32):08x}'
    prefix = ','.join(f'{part}:{PART_TOKENS}' for part in parts)
    results.append(await call(
        record, machine, '/survey/1', KEY, deadline_ms=10_000,
        payload=b'x' * 500, lines=(
            'X-Model: m', f'X-Token-Counts: {PARTS * PART_TOKENS},200',
            f'X-Prompt-Prefix: {prefix}',
        ),
    ))


run(main)

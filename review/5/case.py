"""A call that crashes engines, and all entries killed at the same time."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))
from harness import (  # noqa: E402
    TROUBLE, Engine, Machine, Store, call, config, now, route, run,
)

ZONES = ['zone-a', 'zone-b', 'zone-c']
KEY = 'key-held-7d1c'
ROUTES = [route('order', 'non_idempotent', 'logbook')]
SERVICES = [{'name': 'logbook', 'max_conns': 110}]
POISON = b'the order that crashes'
BACK_AFTER_S = 2.0
INTERVAL_S = 4.0
CONTACT_S = 3.0
MAX_RETRIES = 3
# All entries are killed after these crashes, and start again after a second.
KILLED_AFTER = (2, 4)
SENT = 9


class FragileEngine(Engine):
    """An engine that crashes as it begins to run one request."""

    crashes = []
    starts = 0

    async def answer(self, method, target, headers, body, writer):
        attempt = headers.get('x-attempt-id', '')
        wanted = headers.get('x-expect-instance', self.id)
        if body != POISON or wanted != self.id:
            return await super().answer(method, target, headers, body, writer)
        self._record(f'engine {self.id}: {attempt} runs and crashes it')
        FragileEngine.crashes.append((attempt, now()))
        self._beat.cancel()
        self.close()
        asyncio.create_task(self._come_back(self.id))
        return False

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
        FragileEngine(record, store, 'logbook', f'i-{number}', zone)
        for number, zone in enumerate(ZONES)
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

    started_at = now()
    sent = {}
    sound = asyncio.create_task(send_sound(record, machines))
    for number in range(SENT):
        if TROUBLE and number in KILLED_AFTER:
            for machine in machines:
                machine.signal(signal.SIGKILL)
                machine.process.wait()
            await asyncio.sleep(1)
            for machine in machines:
                machine.start()
            for machine in machines:
                await machine.wait_ready()
            started_at = now()
            await asyncio.sleep(CONTACT_S + 0.5)
        machine = machines[number % len(machines)]
        result = await call(
            record, machine, '/order/poison', KEY, payload=POISON
        )
        sent[result['id']] = started_at
        await asyncio.sleep(INTERVAL_S)
    sound.cancel()

    crashes = FragileEngine.crashes
    third_at = crashes[2][1] if len(crashes) > 2 else now()
    late = [
        (attempt, at) for attempt, at in crashes[3:]
        if at > third_at + CONTACT_S and at > sent[attempt] + CONTACT_S
    ]
    for attempt, at in late:
        record(f'LATE: {attempt} reaches an engine {at - third_at:.1f} s after'
               f' the third crash')
    summary = (
        f'{SENT} requests that crash engines, {len(crashes)} crashes,'
        f' {len(late)} later than contact_ms after the third'
    )
    record(summary)
    print(summary)
    return 1 if len(late) > MAX_RETRIES else 0


async def send_sound(record, machines):
    number = 0
    while True:
        number += 1
        asyncio.create_task(call(
            record, machines[number % len(machines)], '/order/1', KEY,
            payload=f'order {number}'.encode(),
        ))
        await asyncio.sleep(0.25)


run(main)

"""An engine leaves while more requests are under way than connections."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))
from harness import (  # noqa: E402
    BOUNDS, TROUBLE, CannotRun, Engine, Machine, Store, call, config, now,
    route, run,
)

ZONES = ['zone-a', 'zone-b', 'zone-c']
KEY = 'key-held-7d1c'
ROUTES = [route('order', 'non_idempotent', 'logbook', timeout_ms=15_000)]
SERVICES = [{'name': 'logbook', 'max_conns': 434}]
SLOTS = 64
WORK_S = 4.0
# Less than the engines can do together: 2 x 64 requests in 4 s.
REQUESTS_PER_S = 31
LEAVES_AT_S = 14.0
ENDS_AT_S = 24.0


async def main(record, scratch, machines):
    store = Store(record)
    await store.start()
    engines = [
        Engine(record, store, 'logbook', f'i-{number}', zone,
               slots=SLOTS, work_s=WORK_S, queue=24)
        for number, zone in enumerate(ZONES[:2])
    ]
    for engine in engines:
        await engine.start()
    store.write('op/config', config(3, ROUTES, SERVICES, {'museum': [KEY]}))
    machine = Machine(record, store, 0, scratch, ZONES)
    machines.append(machine)
    machine.start()
    await machine.wait_ready()
    await asyncio.sleep(6)

    results = []
    began = now()
    calls = []
    leaving_at = None
    while now() < began + ENDS_AT_S:
        calls.append(asyncio.create_task(one(record, machine, results)))
        next_at = began + len(calls) / REQUESTS_PER_S
        await asyncio.sleep(max(0.0, next_at - now()))
        if leaving_at is None and now() >= began + LEAVES_AT_S and TROUBLE:
            engines[0].state = 'draining'
            engines[0].register()
            leaving_at = now()
            record('engine i-0 reports draining: acknowledged')
    await asyncio.gather(*calls)

    late = []
    if leaving_at is not None:
        bound = leaving_at + BOUNDS['drain_ms'] / 1000
        late = [one for one in engines[0].arrivals if one[1] > bound]
        for attempt, at in late:
            record(
                f'BROKEN: {attempt} reaches i-0 {at - leaving_at:.2f} s after'
                f' its leaving was acknowledged'
            )
    served = sum(one['status'] == 200 for one in results)
    last = max((at - leaving_at for _, at in late), default=0)
    summary = (
        f'{len(results)} requests, {served} served, {len(late)} reached the'
        f' leaving engine later than drain_ms, the last after {last:.2f} s'
    )
    record(summary)
    print(summary)
    if served < len(results) / 4:
        raise CannotRun('too little was served')
    return 1 if late else 0


async def one(record, machine, results):
    results.append(
        await call(record, machine, '/order/1', KEY, deadline_ms=15_000)
    )


run(main)

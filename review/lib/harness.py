"""Stand-ins for the cases: store, engines, operator, clients, machines.

Only the standard library is used. All stand-ins run in the process of the
script; the entries are the project's own programs, one process each, started
with the command of `deploy/system.toml`.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qsl, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
START = time.monotonic()


def now():
    """Return the seconds since the script began."""
    return time.monotonic() - START


def free_port(host, kind=socket.SOCK_STREAM):
    """Return a free port below those that the kernel picks by itself."""
    while True:
        port = random.randrange(12_000, 31_000)
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return port


class Record:
    """Writes `record.txt`."""

    def __init__(self, folder):
        self._file = open(Path(folder) / 'record.txt', 'w')

    def __call__(self, text):
        self._file.write(f'{now():8.3f} {text}\n')
        self._file.flush()


async def read_head(reader):
    """Return the first line and the headers of a message; None at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, text = line.partition(':')
            headers[name.strip().lower()] = text.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return a body that has a length, comes in chunks, or ends with EOF."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            body += (await reader.readexactly(size + 2))[:size]
            if not size:
                return body
    return await reader.readexactly(int(headers.get('content-length', 0)))


class HttpServer:
    """A small HTTP/1.1 server that can go away and come back."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self._server = None
        self._writers = set()

    async def open(self):
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=512
        )

    def close(self):
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(' ')
                body = await read_body(reader, head[1])
                if not await self.answer(method, target, head[1], body, writer):
                    return
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, method, target, headers, body, writer):
        """Answer a request; false closes the connection."""
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store: items, history, leases that end, and eras."""

    def __init__(self, record, host='127.0.0.1'):
        super().__init__(host, free_port(host))
        self.era = 1
        self._record = record
        self._rows = {}
        self._history = []
        self._rev = 100
        self._oldest = 100
        self._leases = {}
        self._next_lease = 5000
        self._changed = asyncio.Event()
        self._tasks = []
        self.away = False
        self.hung = set()

    async def start(self):
        """Open, and end leases from now on."""
        await self.open()
        self._tasks.append(asyncio.create_task(self._end_leases()))

    def write(self, key, value, lease=0):
        """Write or remove a key; the return is the acknowledgement."""
        self._rev += 1
        if value is None:
            if self._rows.pop(key, None) is None:
                self._rev -= 1
                return self._rev
            row = {'key': key, 'rev': self._rev, 'deleted': True}
        else:
            old = self._rows.get(key)
            row = {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'rev': self._rev,
                'created': old['created'] if old else self._rev,
                'lease': lease,
            }
            self._rows[key] = row
        self._history.append(row)
        self._notify()
        return self._rev

    def copy(self):
        """Return all that the store holds now."""
        return (
            dict(self._rows),
            list(self._history),
            self._rev,
            dict(self._leases),
            self._next_lease,
        )

    def restore(self, copy):
        """Hold what a copy holds. A lease ends when it did in the copy."""
        rows, history, self._rev, leases, self._next_lease = copy
        self._rows, self._leases = dict(rows), dict(leases)
        self._history = list(history)
        self.era += 1
        self._remove_ended()
        self._notify()

    def go_away(self):
        """Reset all connections, and answer no call until `come_back`."""
        self.away = True
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def come_back(self, copy=None):
        """Answer calls again; those that came meanwhile are never answered."""
        self.hung.update(self._writers)
        self.away = False
        if copy is not None:
            self.restore(copy)
        else:
            self._remove_ended()
            self._notify()

    def keys(self, prefix):
        """Return the keys under a prefix."""
        return sorted(key for key in self._rows if key.startswith(prefix))

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _end_leases(self):
        while True:
            await asyncio.sleep(0.05)
            if not self.away:
                self._remove_ended()

    def _remove_ended(self):
        for lease, (_, ends_at) in list(self._leases.items()):
            if ends_at <= time.monotonic():
                self._leases.pop(lease)
                for key, row in list(self._rows.items()):
                    if row['lease'] == lease:
                        self.write(key, None)

    async def answer(self, method, target, headers, body, writer):
        await asyncio.sleep(0.004)
        while self.away or writer in self.hung:
            await asyncio.sleep(0.05)
            if writer.transport.is_closing():
                return False
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query))
        content = json.loads(body) if body else {}
        status, document = await self._call(method, parts.path, query, content)
        if self.away or writer in self.hung:
            return False
        text = json.dumps(document).encode()
        writer.write(
            f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
            f'Store-Era: {self.era}\r\n'
            f'Content-Length: {len(text)}\r\n\r\n'.encode() + text
        )
        await writer.drain()
        return True

    async def _call(self, method, path, query, content):
        if path == '/-/kv-key':
            row = self._rows.get(query['key'])
            return (200, {**row, 'as_of': self._rev}) if row else (404, {})
        if path == '/-/kv-range':
            keys = [
                key
                for key in self.keys(query['prefix'])
                if key > query.get('after', '')
            ]
            return 200, {
                'items': [self._rows[key] for key in keys[:500]],
                'has_more': len(keys) > 500,
                'as_of': self._rev,
            }
        if path == '/-/kv-watch':
            return await self._watch(
                query['prefix'], int(query['after']), int(query['wait_ms'])
            )
        if path == '/-/kv-txn':
            return self._txn(content)
        if path == '/-/kv-lease':
            ttl_ms = min(600_000, max(1000, int(content['ttl_ms'])))
            self._next_lease += 1
            self._leases[self._next_lease] = (
                ttl_ms,
                time.monotonic() + ttl_ms / 1000,
            )
            return 200, {'lease': self._next_lease, 'ttl_ms': ttl_ms}
        if path.startswith('/-/kv-keep/'):
            lease = int(path.rpartition('/')[2])
            if lease not in self._leases:
                return 404, {}
            ttl_ms = self._leases[lease][0]
            self._leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {'ttl_ms': ttl_ms}
        return 404, {}

    async def _watch(self, prefix, after, wait_ms):
        if not self._oldest <= after <= self._rev:
            return 410, {}
        era = self.era
        ends_at = time.monotonic() + wait_ms / 1000
        while True:
            if self.era != era:
                return 410, {}
            changed = self._changed
            as_of = self._rev
            events = [
                row
                for row in self._history
                if row['rev'] > after and row['key'].startswith(prefix)
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'as_of': as_of}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def _txn(self, content):
        expected = content.get('expected', [])
        rows = [self._rows.get(one['key']) for one in expected]
        for one, row in zip(expected, rows):
            if int(one['rev']) != (row['rev'] if row else 0):
                return 412, {'items': [row for row in rows if row]}
        for put in content.get('puts', []):
            if put.get('lease') and put['lease'] not in self._leases:
                return 404, {}
        for put in content.get('puts', []):
            value = base64.b64decode(put['value'])
            self.write(put['key'], value, put.get('lease', 0))
        for key in content.get('remove', []):
            self.write(key, None)
        return 200, {'rev': self._rev}


class Engine(HttpServer):
    """An engine of a service of plain calls, and its registration."""

    def __init__(self, record, store, service, name, zone, **options):
        host = options.get('host', '127.0.0.1')
        super().__init__(host, free_port(host))
        self.id, self.service, self.zone = name, service, zone
        self.work_s = options.get('work_s', 0.03)
        self.slots = options.get('slots', 6)
        self.queue = options.get('queue', 24)
        self.state = 'ready'
        self.arrivals = []  # (attempt id, time)
        self.runs = []
        self._record, self._store = record, store
        self._seq = 0
        self._born = int(time.time() * 1000)
        self._busy = asyncio.Semaphore(self.slots)
        self._waiting = 0
        self._beat = None

    async def start(self):
        """Serve and register."""
        await self.open()
        self.register()
        self._beat = asyncio.create_task(self._beats())

    def register(self):
        """Write the registration, if the store is there; tell whether."""
        if self._store.away:
            return False
        self._seq += 1
        self._store.write(f'servers/{self.id}', json.dumps({
            'service': self.service,
            'addr': f'{self.host}:{self.port}',
            'zone': self.zone,
            'version': '1',
            'slots': self.slots,
            'state': self.state,
            'cold_left_ms': 0,
            'seq': self._seq,
            'born': self._born,
        }).encode())
        return True

    def leave(self):
        """End the registration and the process."""
        if self._beat is not None:
            self._beat.cancel()
        self._store.write(f'servers/{self.id}', None)
        self.close()

    async def _beats(self):
        while True:
            await asyncio.sleep(1.2)
            self.register()

    async def answer(self, method, target, headers, body, writer):
        attempt = headers.get('x-attempt-id', '')
        if headers.get('x-expect-instance', self.id) != self.id:
            return await self._send(writer, attempt, 421, b'', True)
        self.arrivals.append((attempt, now()))
        self._record(f'engine {self.id}: {attempt} arrives')
        if self._waiting >= self.queue:
            return await self._send(writer, attempt, 503, b'', True)
        self._waiting += 1
        async with self._busy:
            self._waiting -= 1
            self.runs.append((attempt, now()))
            self._record(f'engine {self.id}: {attempt} runs')
            await asyncio.sleep(self.work_s)
        return await self._send(
            writer, attempt, 200, f'done {attempt} {target}'.encode(), False
        )

    def extra_headers(self):
        """Return further headers of an answer."""
        return ()

    async def _send(self, writer, attempt, status, body, not_run):
        lines = [f'HTTP/1.1 {status} X', f'X-Attempt-Id: {attempt}']
        lines.append('X-Not-Executed: 1' if not_run else 'X-Server-Seal: s.1')
        lines += [f'Content-Length: {len(body)}', *self.extra_headers()]
        writer.write('\r\n'.join((*lines, '', '')).encode() + body)
        await writer.drain()
        return True


BOUNDS = {
    'fail_closed': True, 'revoke_ms': 5000, 'drain_ms': 2000, 'grace_s': 8,
    'retry_ratio': 0.2, 'retry_window_s': 10, 'retry_slack': 100,
    'cold_over': 1.5, 'cold_slack': 5,
}


class Machine:
    """A `front` machine with one entry, at a loopback address of its own."""

    def __init__(self, record, store, number, folder, zones):
        self.name = f'front-{zones[number % len(zones)]}-{number}'
        self.ip = f'127.0.0.{20 + number}'
        self.zone = zones[number % len(zones)]
        self._record, self._store, self._folder = record, store, folder
        self._zones = zones
        self.port = free_port(self.ip)
        self._ready = free_port(self.ip)
        self._peer = free_port(self.ip, socket.SOCK_DGRAM)
        self.process = None
        self.in_rotation = False

    def start(self):
        """Start the program as the deploy file says."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        path = Path(self._folder) / f'{self.name}.yaml'
        path.write_text(json.dumps({
            'node': self.name,
            'zone': self.zone,
            'zones': dict.fromkeys(self._zones, 'region-1'),
            'listen': f'{self.ip}:{self.port}',
            'ready': f'{self.ip}:{self._ready}',
            'peer_port': self._peer,
            'metrics_port': 0,
            'store': {'address': f'{self._store.host}:{self._store.port}'},
            'bounds': {
                'fail_closed': BOUNDS['fail_closed'],
                'key_age_ms': BOUNDS['revoke_ms'],
                'leave_ms': BOUNDS['drain_ms'],
                'shutdown_ms': BOUNDS['grace_s'] * 1000,
                'repeat_ratio': BOUNDS['retry_ratio'],
                'repeat_window_s': BOUNDS['retry_window_s'],
                'repeat_slack': BOUNDS['retry_slack'],
                'cold_factor': BOUNDS['cold_over'],
                'cold_slack': BOUNDS['cold_slack'],
            },
        }))
        log = open(Path(self._folder) / f'{self.name}.log', 'ab')
        self.process = subprocess.Popen(
            deploy['roles']['entry']['run'].split(),
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={
                'PATH': os.environ.get('PATH', '/usr/bin:/bin'),
                'HOME': str(self._folder),
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'MASTICWIND_BOOT': str(path),
            },
        )
        log.close()
        self._record(f'{self.name} started')

    def signal(self, signum):
        """Send a signal to the entry."""
        self._record(f'{self.name} gets {signal.Signals(signum).name}')
        self.process.send_signal(signum)

    def stop(self):
        """End the entry."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        """Ask the entry as the platform does."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self._ready), 1
            )
        except (OSError, TimeoutError):
            return False
        try:
            writer.write(b'GET /-/readiness HTTP/1.1\r\nHost: r\r\n\r\n')
            head = await asyncio.wait_for(read_head(reader), 1)
            return head is not None and ' 200' in head[0]
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def watch_rotation(self):
        """Ask once a second, as the platform does: one answer 200 takes the
        machine into rotation, two misses take it out.
        """
        misses = 2
        while True:
            misses = 0 if await self.is_ready() else misses + 1
            if self.in_rotation != (misses < 2):
                self.in_rotation = misses < 2
                self._record(f'{self.name} in rotation: {self.in_rotation}')
            await asyncio.sleep(1)

    async def wait_ready(self, timeout_s=20):
        """Wait for the readiness check; 2 ends the script if it fails."""
        ends_at = now() + timeout_s
        while now() < ends_at:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{self.name} does not become ready')


class CannotRun(Exception):
    """The case could not run."""


async def call(record, machine, route, key, **options):
    """Send one request over a new connection; return what came back.

    The result has `id`, `sent`, `status` (0: no complete answer), `headers`
    and `body`.
    """
    attempt = options.get('attempt') or f'{random.randrange(1 << 64):016x}'
    deadline_ms = options.get('deadline_ms', 1500)
    payload = options.get('payload', b'order')
    result = {'id': attempt, 'status': 0, 'headers': {}, 'body': b'',
              'machine': machine.name, 'key': key}
    head = (
        f'{options.get("method", "POST")} {route} HTTP/1.1\r\n'
        f'Host: {options.get("host", "case.example")}\r\n'
        f'X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {deadline_ms}\r\n'
        f'Authorization: Bearer {key}\r\n'
        f'Content-Length: {len(payload)}\r\n'
    )
    for line in options.get('lines', ()):
        head += f'{line}\r\n'
    result['sent'] = now()
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(machine.ip, machine.port), 1
        )
    except (OSError, TimeoutError):
        result['refused'] = True
        return result
    try:
        result['sent'] = now()
        writer.write(head.encode() + b'\r\n' + payload)
        async with asyncio.timeout(deadline_ms / 1000 + 3):
            answer = await read_head(reader)
            if answer is not None:
                result['headers'] = answer[1]
                result['body'] = await read_body(reader, answer[1])
                result['status'] = int(answer[0].split(' ')[1])
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()
    result['answered'] = now()
    record(
        f'client: {attempt} key {key} to {machine.name} sent at'
        f' {result["sent"]:.3f} answered {result["status"]}'
        f' {result["body"][:160]!r}'
    )
    return result


def run(main):
    """Run a case; exit with 0 if the rule held, 1 if not, 2 if it could not."""
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder)
    scratch = tempfile.mkdtemp()
    machines = []
    code = 2
    try:
        code = asyncio.run(
            asyncio.wait_for(main(record, scratch, machines), 110)
        )
    except (CannotRun, TimeoutError) as exc:
        record(f'could not run: {exc!r}')
        print(f'could not run: {exc!r}')
    finally:
        for machine in machines:
            machine.stop()
        record(f'exit code {code}')
        if os.environ.get('KEEP_LOGS'):
            print(scratch)
        else:
            shutil.rmtree(scratch, ignore_errors=True)
    sys.stdout.flush()
    # Without the interpreter's complaints about open connections.
    os._exit(code)


def config(version, routes, services, keys, **limits):
    """Return the bytes of `op/config`; `keys` maps tenants to their keys."""
    return json.dumps({
        'version': version,
        'routes': routes,
        'services': services,
        'tenants': [
            {'name': name, 'api_keys': list(texts)}
            for name, texts in keys.items()
        ],
        'limits': {
            'max_header_bytes': 16384, 'max_body_bytes': 4_000_000,
            'header_timeout_ms': 5000, 'idle_timeout_ms': 20000, **limits,
        },
    }).encode()


def route(name, kind, service, **options):
    """Return a route of a configuration."""
    return {
        'name': name, 'host': 'case.example', 'prefix': f'/{name}/',
        'kind': kind, 'service': service, 'timeout_ms': 800,
        'goal_ms': 200, 'priority': 1, 'max_attempts': 1, **options,
    }

"""Random values of the store beside sound ones, read by the real decoder."""

import json
from collections.abc import Coroutine
from typing import Any, Final

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from masticwind.platform.documents import (
    MAX_SLOTS,
    OPERATIONS_PREFIX,
    REGISTRATIONS_PREFIX,
    PlatformDecoder,
)
from masticwind.serving.active_config import ActiveConfig
from masticwind.serving.addresses import MAX_PORT
from masticwind.serving.directory import EndpointDirectory, OperatorState
from masticwind.serving.limit_messages import Limit
from masticwind.serving.mirror import Mirror, MirrorOptions, Sink
from masticwind.serving.peers import EntryPeers
from masticwind.serving.store import (
    ANSWER_TIMEOUT_S,
    Changes,
    Compacted,
    Item,
    Listing,
)
from masticwind.serving.store_eras import NO_ERA, StoreRevision
from tests.entry_harness import (
    CALL_SERVICE,
    registration_json,
    sample_config_document,
    sample_settings,
    steady_connection,
)
from tests.log_records import collected_log_records, count_events
from tests.odd_values import (
    UNUSABLE_IDENTITIES,
    UNUSABLE_PEERS,
    UNUSABLE_REGISTRATIONS,
    nested_array,
    nested_json,
    registration_with,
)
from tests.unwritable_store import UnwritableStore

FUZZ: Final = settings(derandomize=True, deadline=None, max_examples=120)
FAULT_EVENTS: Final = frozenset(('change_failed', 'listing_failed'))
SOUND_KEYS: Final = ('i-1', 'i-2')
ENTRIES_PREFIX: Final = 'masticwind/entries/'
EVACUATION_KEY: Final = 'op/evacuate/zone-b'

_FIELDS: Final = (
    'service',
    'addr',
    'zone',
    'state',
    'slots',
    'cold_left_ms',
    'born',
    'seq',
)
_ATOMS: Final = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.integers(-(10**400), 10**400),
    st.floats(),
    st.text(max_size=20),
)
_JSON: Final = st.recursive(
    _ATOMS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=5), inner, max_size=3),
    ),
    max_leaves=6,
)
_ENCODED: Final = st.one_of(
    _JSON.map(lambda content: json.dumps(content).encode()),
    st.binary(max_size=20),
    st.sampled_from((nested_json(), nested_array(), b'1e400', b'-1e400')),
)
_ODD_REGISTRATIONS: Final = st.one_of(
    st.sampled_from(tuple(UNUSABLE_REGISTRATIONS.values())),
    st.builds(registration_with, st.sampled_from(_FIELDS), _ENCODED),
    st.integers(0, 120).map(lambda end: registration_json(9)[:end]),
    _ENCODED,
    st.none(),
)
_ODD_KEYS: Final = st.sampled_from(
    ('odd', 'a/b', f'{SOUND_KEYS[0]}x', *UNUSABLE_IDENTITIES)
)
_ODD_PEERS: Final = st.one_of(
    st.sampled_from(tuple(UNUSABLE_PEERS.values())),
    st.from_regex(rb'[0-9.:]{0,30}', fullmatch=True),
    st.binary(max_size=30),
    st.none(),
)


class _Store(UnwritableStore):
    """Answers each call at once."""

    def __init__(self) -> None:
        super().__init__()
        self._rows: Final[dict[str, Item]] = {}
        self._history: Final[list[Item]] = []

    def write(self, key: str, value: bytes | None) -> None:
        """Write or remove a key."""
        item = Item(key, value, len(self._history) + 2)
        self._history.append(item)
        self._rows[key] = item

    async def list_prefix(self, prefix: str) -> Listing:
        """Return all values."""
        items = (item for item in self._rows.values() if item.value is not None)
        return Listing(tuple(items), self._revision())

    async def watch_prefix(
        self,
        prefix: str,
        after: StoreRevision,
        wait_s: float,
        answer_timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> Changes | Compacted:
        """Return the changes after a revision."""
        changes = tuple(
            item for item in self._history if item.revision > after.number
        )
        return Changes(changes, self._revision())

    def _revision(self) -> StoreRevision:
        return StoreRevision(NO_ERA, len(self._history) + 1)


def _run(call: Coroutine[Any, Any, object]) -> None:
    """Run a coroutine that never waits."""
    try:
        call.send(None)
    except StopIteration:
        return
    raise AssertionError('the call waits')


def _mirror_of(store: _Store, sink: Sink) -> Mirror:
    return Mirror(store, sink, MirrorOptions(prefix='', wait_s=0))


def _new_directory() -> EndpointDirectory:
    return EndpointDirectory(PlatformDecoder(), steady_connection())


def _check_endpoints(directory: EndpointDirectory, sound: set[str]) -> set[str]:
    endpoints = directory.endpoints(CALL_SERVICE)
    for endpoint in endpoints:
        assert endpoint.identity.encode('ascii').isascii()
        assert endpoint.identity.isprintable()
        assert 0 < endpoint.port <= MAX_PORT
        assert 0 < endpoint.slots <= MAX_SLOTS
        msgspec.msgpack.encode(
            Limit(endpoint.identity, endpoint.started_at_ms, None)
        )
    identities = {known.identity for known in endpoints}
    assert sound <= identities
    return identities


@FUZZ
@given(
    st.lists(
        st.lists(st.tuples(_ODD_KEYS, _ODD_REGISTRATIONS), max_size=4),
        min_size=1,
        max_size=4,
    )
)
def test_sound_engines_are_known_beside_odd_registrations(
    batches: list[list[tuple[str, bytes | None]]],
) -> None:
    """Guards against an odd registration that hides a sound one, before or
    after a restart, or that names an engine that cannot be used.
    """
    store = _Store()
    directory = _new_directory()
    mirror = _mirror_of(store, directory)
    with collected_log_records() as records:
        _run(mirror.sync_once())
        for number, batch in enumerate(batches):
            for identity, value in batch:
                store.write(f'{REGISTRATIONS_PREFIX}{identity}', value)
            sound = SOUND_KEYS[number % 2]
            store.write(
                f'{REGISTRATIONS_PREFIX}{sound}', registration_json(number + 1)
            )
            _run(mirror.sync_once())
            restarted = _new_directory()
            _run(_mirror_of(store, restarted).sync_once())
            sound_known = set(SOUND_KEYS[: number + 1])
            known = _check_endpoints(directory, sound_known)
            assert _check_endpoints(restarted, sound_known) == known
        assert not FAULT_EVENTS & count_events(records).keys()


@FUZZ
@given(st.lists(_ODD_REGISTRATIONS, max_size=4), st.booleans())
def test_engine_returns_after_an_odd_registration(
    values: list[bytes | None], together: bool
) -> None:
    """Guards against an odd value that keeps its key unusable for ever."""
    store = _Store()
    directory = _new_directory()
    mirror = _mirror_of(store, directory)
    key = f'{REGISTRATIONS_PREFIX}i-1'
    for value in (registration_json(1), *values):
        store.write(key, value)
        if not together:
            _run(mirror.sync_once())
    store.write(key, registration_json(2))
    _run(mirror.sync_once())
    assert [one.port for one in directory.endpoints(CALL_SERVICE)] == [2]


def _configuration_with(section: str, content: object) -> bytes:
    # A version of zero is older than each sound one.
    document = sample_config_document(version=0)
    document[section] = content
    return json.dumps(document).encode()


@FUZZ
@given(
    st.lists(
        st.one_of(
            _ENCODED,
            st.builds(
                _configuration_with,
                st.sampled_from(('routes', 'services', 'limits', 'tenants')),
                _JSON,
            ),
        ),
        max_size=4,
    )
)
def test_sound_configuration_is_used_beside_odd_ones(
    values: list[bytes],
) -> None:
    """Guards against an odd configuration that hides the next sound one, or an
    evacuated zone, before or after a restart.
    """
    store = _Store()
    active = ActiveConfig()
    operators = OperatorState(PlatformDecoder(), active)
    mirror = _mirror_of(store, operators)
    config_key = f'{OPERATIONS_PREFIX}config'
    with collected_log_records() as records:
        for version, value in enumerate(values, 1):
            document = sample_config_document(version=version)
            store.write(config_key, json.dumps(document).encode())
            _run(mirror.sync_once())
            store.write(config_key, value)
            store.write(EVACUATION_KEY, value)
            _run(mirror.sync_once())
            assert active.config.version == version
            assert operators.evacuated_zones == {'zone-b'}
            restarted = OperatorState(PlatformDecoder(), ActiveConfig())
            _run(_mirror_of(store, restarted).sync_once())
            assert restarted.evacuated_zones == {'zone-b'}
        assert not FAULT_EVENTS & count_events(records).keys()


@FUZZ
@given(st.lists(st.lists(_ODD_PEERS, max_size=3), min_size=1, max_size=3))
def test_sound_entries_are_known_beside_odd_ones(
    batches: list[list[bytes | None]],
) -> None:
    """Guards against an odd address that hides the other entries, before or
    after a restart, or to which no datagram can be sent.
    """
    store = _Store()
    store.write(f'{ENTRIES_PREFIX}entry-2', b'127.0.0.1:8')
    peers = EntryPeers(sample_settings('entry-1'))
    mirror = _mirror_of(store, peers)
    with collected_log_records() as records:
        for batch in batches:
            for number, value in enumerate(batch):
                store.write(f'{ENTRIES_PREFIX}odd-{number}', value)
            _run(mirror.sync_once())
            restarted = EntryPeers(sample_settings('entry-1'))
            _run(_mirror_of(store, restarted).sync_once())
            for known in (peers, restarted):
                ports = [peer.port for peer in known.others()]
                assert 8 in ports
                assert max(ports) <= MAX_PORT
        assert not FAULT_EVENTS & count_events(records).keys()

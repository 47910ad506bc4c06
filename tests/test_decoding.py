"""Input nested more deeply than decoders go, at each place that decodes."""

import zlib
from pathlib import Path
from typing import Final

import msgspec
import pytest

from masticwind.config.heads import parse_head
from masticwind.config.parts import (
    Head,
    PartCache,
    decode_index,
    part_digest,
)
from masticwind.ctl.api_answer import decode_answer
from masticwind.ctl.explain import explain
from masticwind.entry.chat_body import ChatBodyDecoder
from masticwind.entry.claim_records import decode_head
from masticwind.entry.crash_gossip import CrashGossip
from masticwind.errors import Failure
from masticwind.httpclient import HttpAnswer
from masticwind.protocol.codec import decode_frame
from masticwind.serving.confirmations import ConfirmationRequest
from masticwind.serving.crash_evidence import CrashEvidence
from masticwind.serving.datagrams import PeerAddress, PeerSocket, Receiver
from masticwind.settings import EntrySettings
from masticwind.settings_file import read_settings
from masticwind.web import decode_json
from tests.entry_harness import sample_settings
from tests.log_records import collected_log_records, count_events
from tests.odd_values import NESTING_LEVELS, nested_array, nested_json

pytestmark = pytest.mark.anyio

# Arrays of one element, nested more deeply than decoders go.
NESTED_MESSAGEPACK: Final = b'%b\xc0' % (b'\x91' * NESTING_LEVELS)
NESTED_CBOR: Final = b'%b\xf6' % (b'\x81' * NESTING_LEVELS)


def test_nested_head_is_a_failure() -> None:
    """Guards against a head of a configuration that raises an error."""
    assert isinstance(parse_head(nested_json()), Failure)


def test_nested_index_is_empty() -> None:
    """Guards against an index of teams that raises an error."""
    assert not decode_index(zlib.compress(nested_json()))


@pytest.mark.parametrize('section', ['routes', 'teams'])
def test_nested_part_of_a_configuration_is_a_failure(section: str) -> None:
    """Guards against a part of a configuration that raises an error."""
    cache = PartCache()
    nested = zlib.compress(nested_json())
    bucket = part_digest(nested)
    contents = {bucket: nested}
    digest = bucket
    if section == 'teams':
        for _ in range(2):
            index = zlib.compress(msgspec.json.encode({'0': digest}))
            digest = part_digest(index)
            contents[digest] = index
    cache.add_trusted(contents)
    head = Head(
        number=1,
        writer='w',
        operator='o',
        applied_at='',
        parts={section: digest},
    )
    assert isinstance(cache.build_configuration(head), Failure)


@pytest.mark.parametrize('status', [200, 500])
def test_nested_answer_to_an_operator_is_a_failure(status: int) -> None:
    """Guards against a command that ends with a traceback."""
    answer = HttpAnswer(status, {}, nested_json())
    assert isinstance(decode_answer(answer, dict[str, object]), Failure)


def test_nested_log_line_does_not_hide_the_others(tmp_path: Path) -> None:
    """Guards against a log that one line makes useless."""
    path = tmp_path / 'entry.log'
    path.write_bytes(
        b'%b\n{"request_id": "r1", "event": "attempt_done"}\n' % nested_json()
    )
    assert explain('r1', (path,)).lines[-1] == 'cause: served'


@pytest.mark.parametrize('count', [1, 10])
async def test_nested_body_is_refused(count: int) -> None:
    """Guards against a body that is answered with an internal error."""
    body = b'[%b]' % b','.join(nested_json() for _ in range(count))
    assert isinstance(await decode_json(body, list[object]), Failure)


@pytest.mark.parametrize('content', ['content', 'x'])
async def test_nested_chat_body_is_refused(content: str) -> None:
    """Guards against a chat body that is answered with an internal error."""
    body = b'{"model": "m", "messages": [{"role": "user", "%b": %b}]}' % (
        content.encode(),
        nested_array(),
    )
    assert isinstance(await ChatBodyDecoder().decode(body), Failure)


def test_nested_claims_are_a_failure() -> None:
    """Guards against stored claims that raise an error."""
    content = b'\x93\x90\x90%b' % NESTED_MESSAGEPACK
    assert isinstance(decode_head(content), Failure)


def test_nested_frame_is_a_failure() -> None:
    """Guards against a frame that raises an error."""
    assert isinstance(decode_frame(NESTED_CBOR), Failure)
    nested_tags = b'%b\x00' % (b'\xc1' * NESTING_LEVELS)
    assert isinstance(decode_frame(nested_tags), Failure)


class _NoReceiver(Receiver[ConfirmationRequest]):
    def receive(
        self, message: ConfirmationRequest, sender: PeerAddress
    ) -> None:
        """Fail: no message can be read."""
        raise AssertionError(message)


@pytest.mark.parametrize(
    'content',
    [
        NESTED_MESSAGEPACK,
        b'\x92\xa1a%b' % NESTED_MESSAGEPACK,
        b'\x92\xa1a\x92\x01%b' % NESTED_MESSAGEPACK,
        b'\x92\xa1a\x91\xc0',
        b'',
    ],
)
def test_nested_datagram_does_not_stop_the_socket(content: bytes) -> None:
    """Guards against a datagram that stops the exchange among entries."""
    peer_socket = PeerSocket(sample_settings())
    peer_socket.register('a', ConfirmationRequest, _NoReceiver())
    peer_socket._receive(content, PeerAddress('127.0.0.1', 9))


def test_unreadable_datagrams_of_one_host_are_logged_once() -> None:
    """Guards against a log that an odd sender fills."""
    peer_socket = PeerSocket(sample_settings())
    with collected_log_records() as records:
        for port in range(20):
            peer_socket._receive(b'', PeerAddress('127.0.0.1', port))
        peer_socket._receive(b'', PeerAddress('127.0.0.2', 9))
        assert count_events(records)['datagram_unreadable'] == 2


def test_nested_crash_report_does_not_hide_the_others() -> None:
    """Guards against a report of a neighbour that raises an error."""
    gossip = CrashGossip(CrashEvidence())
    sound = msgspec.msgpack.encode(('c-1', 0, [], ['k'], True))
    gossip.receive((b'\x96\xa1c\x00\x90\x90\xc3%b' % NESTED_MESSAGEPACK, sound))
    assert gossip.evidence.is_known('c-1')


def test_nested_settings_are_refused(tmp_path: Path) -> None:
    """Guards against a settings file that ends the process on a reload."""
    path = tmp_path / 'entry.yaml'
    path.write_text(f'{"[" * 5_000}{"]" * 5_000}')
    assert isinstance(read_settings(path, EntrySettings), Failure)


@pytest.mark.parametrize('text', ['a: 2020-99-99', f'a: {"1" * 5_000}'])
def test_settings_that_yaml_cannot_convert_are_refused(
    text: str, tmp_path: Path
) -> None:
    """Guards against a settings file that ends the process on a reload."""
    path = tmp_path / 'entry.yaml'
    path.write_text(text)
    assert isinstance(read_settings(path, EntrySettings), Failure)

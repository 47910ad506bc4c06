"""The evidence of crashes under prompts that fill the header of a request."""

import string
from itertools import islice, product
from typing import Final

import msgspec
import pytest

from masticwind.entry.crash_gossip import prompt_fingerprint
from masticwind.protocol.messages import MAX_CRASH_BYTES
from masticwind.serving.attempt_context import AttemptState
from masticwind.serving.crash_archive import CrashArchive
from masticwind.serving.crash_link import CRASH
from masticwind.serving.datagrams import PeerAddress
from masticwind.serving.fingerprints import fingerprint
from masticwind.serving.quarantine import RunningPrompt
from tests.manual_clock import ManualClock
from tests.test_crash_archive import RecordingStore
from tests.test_crash_evidence import POISON, QuarantineHarness
from tests.test_crash_machine import ModelEntry

HEADER_BYTES: Final = 16_384
RANGE: Final = range(500)
MAX_DATAGRAM_BYTES: Final = 65_507
MAX_VALUE_BYTES: Final = 1_048_576
ASCII: Final = string.ascii_letters + string.digits
HIGH: Final = ''.join(map(chr, range(0xC0, 0x100)))
# Alphabets and lengths of the parts of a prompt.
KINDS: Final = (
    pytest.param(ASCII, 3, id='ascii-3'),
    pytest.param(HIGH, 3, id='high-3'),
    pytest.param(ASCII, 8, id='ascii-8'),
    pytest.param(HIGH, 15, id='high-15'),
    pytest.param(HIGH, 64, id='high-64'),
)


def shared_parts(alphabet: str, length: int, first: int = 0) -> list[str]:
    """Return distinct parts that leave room for two more in the header."""
    count = (HEADER_BYTES - 80) // (length + 1)
    prefix = alphabet[0] * (length - 3)
    names = islice(product(alphabet, repeat=3), first, first + count)
    return [prefix + ''.join(name) for name in names]


def crash_entry(entry: ModelEntry, alphabet: str, length: int) -> None:
    """Crash engines under many prompts that fill the header."""
    harness = QuarantineHarness(entry.peers, entry.link)
    parts = shared_parts(alphabet, length)
    harness.answer(*parts[:-1], 'own')
    prompts = [(*parts, POISON, f'own-{number}') for number in range(18)]
    harness.crash(begun=prompts[:2])
    harness.crash(begun=prompts[2:3], waiting=prompts[2:])
    harness.answer(*parts[: len(parts) // 2], 'own')
    for prompt in prompts[:3]:
        harness.crash(begun=[prompt])


@pytest.mark.parametrize('position', [63, 64, 66, 500, -1])
def test_part_at_any_position_is_found(position: int) -> None:
    """Guards against sound prompts that are held for a part that they lack,
    and against engines that crash under a part that is not compared.
    """
    harness = QuarantineHarness()
    parts = shared_parts(ASCII, 8)
    poison = parts.copy()
    poison[position] = POISON
    for own in ('a', 'b', 'c'):
        harness.crash(begun=[(*poison, own)])
    assert not harness.is_held(*parts, 'd')
    assert harness.is_held(*poison, 'd')
    harness.answer(*parts, 'd')
    assert harness.is_held('other', POISON, 'e')


def test_prompt_that_exceeds_the_header_names_no_part() -> None:
    """Guards against evidence against the parts before the culprit."""
    parts = [*shared_parts(ASCII, 8), *shared_parts(ASCII, 8, 5000), POISON]
    harness = QuarantineHarness()
    for own in ('a', 'b', 'b'):
        harness.crash(begun=[(*parts, own)])
    assert harness.is_held(*parts, 'b')
    assert not harness.is_held(*parts[:-1], 'c')


@pytest.mark.parametrize(('alphabet', 'length'), KINDS)
def test_reports_of_long_prompts_reach_the_other_entries(
    alphabet: str, length: int
) -> None:
    """Guards against reports that exceed a datagram or cannot be read."""
    clock = ManualClock()
    sender, receiver, late = (ModelEntry(one, clock) for one in range(3))
    crash_entry(sender, alphabet, length)
    assert sender.held_keys()
    for number, content in sender.take_sent():
        raw = msgspec.Raw(content)
        datagram = msgspec.msgpack.encode((CRASH, raw))
        assert len(datagram) <= MAX_DATAGRAM_BYTES
        if number == 1:
            receiver.receive(content, 0)
    assert receiver.held_keys() == sender.held_keys()
    sender.link.send(sender.link.reports(), PeerAddress('10.0.0.2', 7))
    for _, content in sender.take_sent():
        raw = msgspec.Raw(content)
        datagram = msgspec.msgpack.encode((CRASH, raw))
        assert len(datagram) <= MAX_DATAGRAM_BYTES
        late.receive(content, 0)
    assert late.held_keys() == sender.held_keys()


@pytest.mark.anyio
@pytest.mark.parametrize(('alphabet', 'length'), KINDS)
async def test_reports_of_long_prompts_fit_into_the_store(
    alphabet: str, length: int
) -> None:
    """Guards against a restart of all entries that loses the evidence."""
    clock = ManualClock()
    entry, restarted = (ModelEntry(one, clock) for one in range(2))
    store = RecordingStore()
    archive = CrashArchive(store, 'crashes/', entry.link)
    crash_entry(entry, alphabet, length)
    assert await archive.write_held() is None
    assert max(map(len, store.values.values())) <= MAX_VALUE_BYTES
    await CrashArchive(store, 'crashes/', restarted.link).load()
    held = {key for key in entry.held_keys() if not key.startswith('prompt:')}
    assert held <= restarted.held_keys().keys()


def test_answered_parts_that_do_not_fit_into_a_report_are_not_accused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against sound parts that are accused in full, since the list of
    answered ones was cut.
    """
    monkeypatch.setattr('masticwind.serving.quarantine.MAX_ANSWERED_BYTES', 9)
    harness = QuarantineHarness()
    parts = [f'part-{number}' for number in range(5)]
    harness.answer(*parts, 'a')
    harness.crash(begun=[(*parts, POISON, 'b')])
    scores = [harness.evidence.score(part) for part in (*parts, POISON)]
    assert scores == [3, 0, 0, 0, 0, 6]


def test_prompt_of_equal_parts_has_each_once() -> None:
    """Guards against a report that repeats a part."""
    prompt = fingerprint(('x',) * 4000)
    assert prompt.parts == ('x',)


def test_long_chat_prompts_are_compared_beyond_their_first_blocks() -> None:
    """Guards against chats that are held for blocks before the culprit."""
    prompts = [
        prompt_fingerprint(own, (*range(1500), *(base + one for one in RANGE)))
        for own, base in ((b'a', 5000), (b'b', 5000), (b'c', 9000))
    ]
    harness = QuarantineHarness()
    crashed: list[RunningPrompt] = []
    for prompt in (*prompts[:2], prompts[0]):
        running = harness.quarantine.start(
            prompt, prompt.whole, AttemptState(answer_begun=True)
        )
        crashed.append(running)
        harness.quarantine.end(running)
        harness.quarantine.record_crash(running, 'e', str(len(crashed)))
    for prompt in prompts:
        content = msgspec.msgpack.encode(prompt.parts)
        assert len(content) < MAX_CRASH_BYTES // 2
    assert harness.quarantine.check(prompts[1], 'r') is not None
    assert harness.quarantine.check(prompts[2], 'r') is None


def test_report_of_the_earlier_release_is_read() -> None:
    """Guards against evidence that an upgrade of the entries loses."""
    suspect = ['r', True, 'prompt:x', ['a', 'a'], [0, 6, 6]]
    content = msgspec.msgpack.encode(['e/1', 5, [suspect], ['b'], True])
    entry = ModelEntry(0, ManualClock())
    entry.receive(content, 1)
    assert entry.evidence.score('a') == 12

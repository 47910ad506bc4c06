"""Exchanges the evidence of crashes over the connections between entries.

Each entry is connected to a few others, so it passes on what is new to it.
"""

import random
from collections.abc import Callable, Sequence
from typing import Final

import anyio
import msgspec
import xxhash
from loguru import logger

from masticwind.config.distribute import rank_by_rendezvous_hash
from masticwind.decoding import parse_msgpack
from masticwind.errors import ErrorKind, Failure
from masticwind.protocol.messages import MAX_CRASH_BYTES, MAX_USAGE_CRASHES
from masticwind.serving.admission.bounds import EntryFleet
from masticwind.serving.crash_evidence import CrashEvidence
from masticwind.serving.evidence_link import CrashReport, EvidenceLink
from masticwind.serving.fingerprints import (
    RequestFingerprint,
    fingerprint,
)

CLEANUP_INTERVAL_S: Final = 1.0
# Blocks of a prompt that are compared. The rest of the bytes of a report are
# for the name of its crash.
MAX_BLOCKS: Final = 512
MAX_REPORT_BYTES: Final = MAX_CRASH_BYTES - 1024

# Sends encoded reports to the connected entries.
Sender = Callable[[Sequence[bytes]], None]


def prompt_fingerprint(
    prompt: bytes, prefix_hashes: tuple[int, ...]
) -> RequestFingerprint:
    """Return the keys of a prompt: its leading blocks, and all of it.

    The hash of a block covers the blocks before it. So of many blocks, each
    second one, or fourth and so on, is enough to tell prompts apart, and longer
    prompts still share keys with shorter ones.
    """
    step = 1
    while len(prefix_hashes) > step * MAX_BLOCKS:
        step *= 2
    blocks = [f'{block:016x}' for block in prefix_hashes[step - 1 :: step]]
    return fingerprint((*blocks, xxhash.xxh3_128_hexdigest(prompt)))


class NamedEntries(EntryFleet):
    """The entries that the instance list names, this one included."""

    def __init__(
        self, own_name: str, other_names: Callable[[], frozenset[str]]
    ) -> None:
        self._own_name: Final = own_name
        self._other_names: Final = other_names

    def count(self) -> int:
        """Return the number of entries."""
        return len(self._other_names()) + 1

    def rank_for(self, endpoint: str) -> int:
        """Return the rank of this entry for a key, from zero."""
        names = self._other_names() | {self._own_name}
        return rank_by_rendezvous_hash(names, endpoint).index(self._own_name)


class CrashGossip(EvidenceLink):
    """Sends this entry's evidence to its neighbours and merges theirs."""

    def __init__(self, evidence: CrashEvidence) -> None:
        super().__init__(evidence, MAX_REPORT_BYTES)
        self.send_to_neighbours: Sender = _drop

    async def run(self) -> None:
        """Remove expired evidence until cancelled."""
        while True:
            await anyio.sleep(CLEANUP_INTERVAL_S)
            self.remove_expired()

    def broadcast(self, report: CrashReport) -> None:
        """Send a report to the neighbours, which pass it on."""
        self.send_to_neighbours((msgspec.msgpack.encode(report),))

    def receive(self, contents: Sequence[bytes]) -> None:
        """Merge reports of a neighbour and pass on those with news."""
        news: list[bytes] = []
        for content in contents:
            report = parse_msgpack(content, CrashReport, ErrorKind.BAD_REQUEST)
            if isinstance(report, Failure):
                logger.bind(reason=report.reason).warning(
                    'crash_report_unreadable'
                )
                continue
            if self.apply(report):
                news.append(content)
        if news:
            self.send_to_neighbours(news)

    def sample(self) -> list[bytes]:
        """Return some of the crashes that speak against a key, encoded."""
        reports = self.reports()
        count = min(MAX_USAGE_CRASHES, len(reports))
        return [
            msgspec.msgpack.encode(report)
            for report in random.sample(reports, count)
        ]


def _drop(_contents: Sequence[bytes]) -> None:
    """Send nothing, until the neighbours are connected."""

"""How the evidence of crashes goes from one entry to the others.

The reports are the same on each way between entries; a subclass sends them.
"""

import abc
import math
from collections.abc import Callable, Iterable
from typing import Annotated, Final

import msgspec

from masticwind.budget import MS_PER_S
from masticwind.serving.crash_evidence import (
    EVIDENCE_TTL_S,
    MAX_CLEARED,
    MAX_SUSPECTS,
    CrashEvidence,
    Key,
    Suspect,
)
from masticwind.serving.fingerprints import MAX_KEY_CHARS

# The largest report, without the name of its crash. Of the bytes of a UDP
# datagram (65,507), the name and the envelope take fewer than the rest.
MAX_REPORT_BYTES: Final = 64_000
# The time of a crash in a message is an age, so clocks are never compared.
MAX_AGE_MS: Final = int(EVIDENCE_TTL_S * MS_PER_S)


class CrashReport(msgspec.Struct, array_like=True):
    """What an entry knows of one crash; with `complete`, all of it."""

    crash_id: Annotated[str, msgspec.Meta(max_length=4 * MAX_KEY_CHARS)]
    age_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_AGE_MS)]
    suspects: Annotated[list[Suspect], msgspec.Meta(max_length=MAX_SUSPECTS)]
    cleared: Annotated[list[Key], msgspec.Meta(max_length=MAX_CLEARED)]
    complete: bool

    def has_same_content(self, other: 'CrashReport') -> bool:
        """Tell whether two reports have the same evidence, whatever its age."""
        return (self.suspects, self.cleared) == (other.suspects, other.cleared)


def split_report(report: CrashReport, max_bytes: int) -> list[CrashReport]:
    """Return reports of limited size that together say what one says.

    None of several reports is complete by itself. As the others may not
    arrive, each names all suspects, though some without the parts of their
    prompts, and says which of its keys have been cleared. Only cleared keys for
    which it has no room are in reports before it.
    """
    if _size_of(report) <= max_bytes:
        return [report]
    reports: list[CrashReport] = []
    begin = 0
    while begin < len(report.suspects):
        end = begin + 1
        partial = _partial_report(report, begin, end)
        while end < len(report.suspects):
            larger = _partial_report(report, begin, end + 1)
            if _size_of(larger) > max_bytes:
                break
            partial = larger
            end += 1
        reports.append(partial)
        begin = end
    untold = set(report.cleared)
    for one in reports:
        if _size_of(one) > max_bytes:
            one.cleared = []
        untold.difference_update(one.cleared)
    base = msgspec.structs.replace(report, suspects=[], complete=False)
    cleared_lists = _pack(sorted(untold), max_bytes)
    return [
        *(
            msgspec.structs.replace(base, cleared=some)
            for some in cleared_lists
        ),
        *reports,
    ]


def _partial_report(report: CrashReport, begin: int, end: int) -> CrashReport:
    """Return a report with the parts of some suspects only."""
    suspects = [
        one if begin <= number < end else one.without_parts()
        for number, one in enumerate(report.suspects)
    ]
    keys = {key for one in suspects for key in one.keys}
    return msgspec.structs.replace(
        report,
        suspects=suspects,
        cleared=sorted(keys.intersection(report.cleared)),
        complete=False,
    )


def _size_of(report: CrashReport) -> int:
    return len(msgspec.msgpack.encode(report))


def _pack(keys: list[str], max_bytes: int) -> list[list[str]]:
    """Return lists of limited size."""
    lists: list[list[str]] = []
    size = max_bytes
    for key in keys:
        added = len(msgspec.msgpack.encode(key))
        size += added
        if size > max_bytes:
            lists.append([])
            size = added
        lists[-1].append(key)
    return lists


class EvidenceLink(abc.ABC):
    """Records what happens at this entry, and tells the other entries."""

    def __init__(
        self, evidence: CrashEvidence, max_report_bytes: int = MAX_REPORT_BYTES
    ) -> None:
        self.evidence: Final = evidence
        self._max_report_bytes: Final = max_report_bytes
        # Crashes at which this entry had a prompt.
        self.reported: Final[set[str]] = set()
        self.on_report: Callable[[], None] = _ignore_report

    @abc.abstractmethod
    async def run(self) -> None:
        """Exchange evidence until cancelled."""

    @abc.abstractmethod
    def broadcast(self, report: CrashReport) -> None:
        """Send a report to the other entries."""

    def report_crash(self, crash_id: str, suspect: Suspect) -> None:
        """Record a prompt at a crash and tell the other entries."""
        self.reported.add(crash_id)
        self.evidence.merge(crash_id, self.evidence.clock(), (suspect,))
        self.broadcast(self._to_report(crash_id, (suspect,), ()))
        self.on_report()

    def clear(self, keys: Iterable[str]) -> None:
        """Clear keys of which a prompt was answered, here and elsewhere."""
        cleared_keys: dict[str, list[str]] = {}
        for crash_id, key in self.evidence.accusations(keys):
            cleared_keys.setdefault(crash_id, []).append(key)
        self.evidence.clear(cleared_keys)
        for crash_id, cleared in cleared_keys.items():
            report = self._to_report(crash_id, (), cleared)
            for one in split_report(report, self._max_report_bytes):
                self.broadcast(one)

    def apply(self, report: CrashReport) -> bool:
        """Merge a report; tell whether anything in it was new."""
        return self.evidence.merge(
            report.crash_id,
            self.evidence.clock() - report.age_ms / MS_PER_S,
            report.suspects,
            report.cleared,
        )

    def reports(self) -> list[CrashReport]:
        """Return the crashes that speak against a key, as they are sent."""
        return [
            report
            for crash_id in self.evidence.crashes()
            for report in self.reports_of(crash_id)
        ]

    def reports_of(self, crash_id: str) -> list[CrashReport]:
        """Return all that is known of a crash, as it is sent."""
        return split_report(self.report_of(crash_id), self._max_report_bytes)

    def report_of(self, crash_id: str) -> CrashReport:
        """Return all that is known of a crash."""
        crash = self.evidence.crash(crash_id)
        return self._to_report(
            crash_id,
            sorted(crash.suspects.values()),
            sorted(crash.cleared),
            complete=True,
        )

    def remove_expired(self) -> None:
        """Drop the crashes that are too old."""
        self.evidence.remove_expired()
        self.reported.intersection_update(self.evidence.crashes())

    def _to_report(
        self,
        crash_id: str,
        suspects: Iterable[Suspect],
        cleared: Iterable[str],
        *,
        complete: bool = False,
    ) -> CrashReport:
        observed_at = self.evidence.crash(crash_id).observed_at
        age_s = max(0.0, self.evidence.clock() - observed_at)
        return CrashReport(
            crash_id=crash_id,
            age_ms=min(MAX_AGE_MS, math.ceil(age_s * MS_PER_S)),
            suspects=list(suspects),
            cleared=list(cleared),
            complete=complete,
        )


def _ignore_report() -> None:
    """Do nothing; the listener until another one is set."""

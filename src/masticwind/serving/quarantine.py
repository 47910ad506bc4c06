"""Keeps poison requests away from the engines.

A request that can crash each engine which begins to answer it would otherwise
go from engine to engine: its entry repeats it, and its caller comes back. All
entries share the evidence of crashes and hold the same parts of prompts, and
the same calls. Requests with a held key are rejected at once, and prompts on an
engine that has not begun to answer them are recalled.

A hold ends when a request with the key is answered, or when an operator
releases it. After the time of the hold, one entry of the fleet may send one
such request as a trial. A crash makes the hold longer. The trials of one
request are limited.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

import anyio
import msgspec
from loguru import logger

from masticwind.budget import MS_PER_S
from masticwind.errors import ErrorKind, Failure
from masticwind.serving.admission.bounds import EntryFleet
from masticwind.serving.attempt_context import AttemptState
from masticwind.serving.crash_archive import CrashArchive
from masticwind.serving.crash_evidence import (
    EVIDENCE_TTL_S,
    CrashEvidence,
    Hold,
    Suspect,
)
from masticwind.serving.crash_link import CrashLink
from masticwind.serving.datagrams import PeerSocket
from masticwind.serving.evidence_link import EvidenceLink
from masticwind.serving.fingerprints import (
    RequestFingerprint,
    is_call,
    limit_length,
)
from masticwind.serving.peers import EntryPeers
from masticwind.serving.store import MetadataStore

# Parts that are remembered as answered at least, and for how long.
MAX_ANSWERED_PARTS: Final = 8192
ANSWERED_TTL_S: Final = 60.0
# Bytes of the answered parts of a prompt that a report names. All that is said
# of one prompt must fit into a datagram.
MAX_ANSWERED_BYTES: Final = 17_408
# Parts beside a held one that operators see, and that are logged.
MAX_SHOWN_PARTS: Final = 64
# An engine that writes a second event has not crashed under the first one.
SOUND_EVENTS: Final = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldPart:
    """A held part of prompts, or a whole prompt, as shown to operators.

    `since_s` is the time since the first crash, and `left_s` the time until
    one prompt with it may be tried. `endpoints` are those that crashed. Of many
    `common_parts`, the first are shown.
    """

    part: str
    common_parts: list[str]
    crashes: int
    since_s: float
    left_s: float
    endpoints: list[str]


@dataclass(slots=True, kw_only=True)
class RunningPrompt:
    """A prompt that has been sent to an engine.

    `prior_scores` are the scores of its keys when it was sent.
    """

    request_id: str
    prompt: RequestFingerprint
    prior_scores: tuple[int, ...]
    attempt: AttemptState
    proved_sound: bool = False


class _AnsweredParts:
    """Parts of which a prompt was answered recently.

    When there are many, the older ones are dropped together.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock: Final = clock
        self._latest: dict[str, float] = {}
        self._older: dict[str, float] = {}

    def record(self, parts: Iterable[str]) -> None:
        """Record parts of a prompt that has been answered."""
        if len(self._latest) >= MAX_ANSWERED_PARTS:
            self._older = self._latest
            self._latest = {}
        self._latest.update(dict.fromkeys(parts, self._clock()))

    def among(self, parts: Iterable[str]) -> list[str]:
        """Return those of `parts` that have been answered recently."""
        oldest = self._clock() - ANSWERED_TTL_S
        answered: list[str] = []
        for part in parts:
            answered_at = self._latest.get(part, self._older.get(part))
            if answered_at is not None and answered_at >= oldest:
                answered.append(part)
        return answered


@dataclass(frozen=True, slots=True)
class _Trial:
    """The use of the trial that a hold allows in one period."""

    crashes: int
    period: int
    request_id: str


class Quarantine:
    """Decides which prompts may be sent, from the evidence of crashes."""

    def __init__(
        self,
        link: EvidenceLink,
        fleet: EntryFleet,
        archive: CrashArchive | None = None,
    ) -> None:
        evidence = link.evidence
        self._evidence: Final = evidence
        self._link: Final = link
        self._archive: Final = archive
        self._fleet: Final = fleet
        self._running: Final[dict[int, RunningPrompt]] = {}
        self._trials: Final[dict[str, _Trial]] = {}
        self._answered: Final = _AnsweredParts(evidence.clock)
        evidence.on_hold_change = self._handle_hold_change

    async def run(self) -> None:
        """Exchange evidence with entries and the store until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._link.run)
            if self._archive is not None:
                tasks.start_soon(self._archive.run)

    @property
    def tracks_calls(self) -> bool:
        """Whether calls are compared with the evidence.

        If not, the fingerprint of a call is not needed before it fails.
        """
        return self._evidence.has_calls

    def held_count(self) -> int:
        """Return the number of parts and prompts that are held."""
        return len(self._evidence.holds())

    def describe(self) -> list[HeldPart]:
        """Return what is held, the oldest first."""
        now = self._evidence.clock()
        holds = sorted(
            self._evidence.holds().values(), key=lambda one: one.first_at
        )
        distinct = {hold.common_parts for hold in holds}
        shown = {one: _first_parts(one) for one in distinct}
        return [
            HeldPart(
                part=hold.key,
                common_parts=shown[hold.common_parts],
                crashes=hold.crashes,
                since_s=now - hold.first_at,
                left_s=self._remaining_s(hold),
                endpoints=[
                    crash_id.partition('/')[0]
                    for crash_id in self._evidence.crash_ids(hold.key)
                ],
            )
            for hold in holds
        ]

    def release(self, part: str) -> bool:
        """Release a held part in all entries; false if it is not held."""
        if part not in self._evidence.holds():
            return False
        logger.bind(part=part).info('prompt_part_release_ordered')
        self._link.clear((part,))
        return True

    def check(
        self, prompt: RequestFingerprint, request_id: str
    ) -> Failure | None:
        """Return the rejection of a prompt, None if it may be sent."""
        hold = self._evidence.find_hold(prompt)
        if hold is None or self._is_trial(hold, request_id):
            return None
        return Failure(
            kind=ErrorKind.QUARANTINED,
            reason=f'{hold.crashes} engines have crashed under requests with'
            f' {hold.key}',
            retry_after_ms=math.ceil(self._remaining_s(hold) * MS_PER_S),
        )

    def start(
        self, prompt: RequestFingerprint, request_id: str, attempt: AttemptState
    ) -> RunningPrompt:
        """Track a prompt that is sent to an engine, until `end`."""
        running = RunningPrompt(
            request_id=request_id,
            prompt=prompt,
            prior_scores=self._evidence.prior_scores(prompt.keys),
            attempt=attempt,
        )
        self._running[id(running)] = running
        return running

    def identify(
        self, running: RunningPrompt, prompt: RequestFingerprint
    ) -> None:
        """Give a call its fingerprint, if it was sent without one.

        Nothing spoke against any call then.
        """
        if not running.prompt.keys:
            running.prompt = prompt
            running.prior_scores = (0,) * len(prompt.keys)

    def end(self, running: RunningPrompt) -> None:
        """Stop tracking a request whose attempt has ended."""
        self._running.pop(id(running))

    def record_events(self, running: RunningPrompt) -> None:
        """Take note of new events; the second one proves a prompt sound."""
        if running.attempt.event_count >= SOUND_EVENTS:
            self.record_sound(running)

    def record_sound(self, running: RunningPrompt) -> None:
        """Record that an engine has answered a prompt without a crash."""
        if not running.proved_sound:
            running.proved_sound = True
            self._answered.record(running.prompt.parts)
            self._link.clear(running.prompt.keys)

    def record_crash(
        self, running: RunningPrompt, endpoint: str, process: str
    ) -> None:
        """Record that an engine crashed before it wrote an event.

        `process` tells apart two processes of the same endpoint.
        """
        self._link.report_crash(
            f'{limit_length(endpoint)}/{limit_length(process)}',
            self._to_suspect(running),
        )

    def _to_suspect(self, running: RunningPrompt) -> Suspect:
        """Return a prompt as it is reported.

        Answered parts that cannot be named as such are not accused.
        """
        answered = self._answered.among(running.prompt.parts)
        named = _take_bytes(answered, MAX_ANSWERED_BYTES)
        suspect = Suspect(
            request_id=limit_length(running.request_id),
            answer_begun=running.attempt.answer_begun,
            prompt=running.prompt.whole,
            parts=running.prompt.parts,
            prior_scores=running.prior_scores,
            answered_parts=named,
        )
        if len(named) == len(answered):
            return suspect
        unnamed = frozenset(answered).difference(named)
        scores = [
            (key, score)
            for key, score in suspect.scores()
            if key not in unnamed
        ]
        return msgspec.structs.replace(
            suspect,
            parts=tuple(key for key, _ in scores[1:]),
            prior_scores=tuple(score for _, score in scores),
        )

    def _is_trial(self, hold: Hold, request_id: str) -> bool:
        """Tell whether a request is the trial of a hold in this period.

        In each period, another entry of the fleet may send the trial, since
        callers may reach some entries only.
        """
        period = self._period(hold)
        if not period or not self._has_trial(hold, period):
            return False
        trial = self._trials.get(hold.key)
        if (
            trial is not None
            and trial.crashes == hold.crashes
            and trial.period == period
        ):
            return trial.request_id == request_id
        if self._fleet.rank_for(f'{hold.key} {period}'):
            return False
        self._trials[hold.key] = _Trial(hold.crashes, period, request_id)
        log = logger.bind(request_id=request_id, part=hold.key)
        log.info('held_prompt_tried')
        return True

    def _has_trial(self, hold: Hold, period: int) -> bool:
        """Tell whether a trial is left for a period; each has one."""
        return hold.trials_left is None or period <= hold.trials_left

    def _remaining_s(self, hold: Hold) -> float:
        """Return the time until the next trial, or the end of the evidence."""
        age_s = self._evidence.clock() - hold.last_at
        period = self._period(hold) + 1
        if not self._has_trial(hold, period):
            return max(0.0, EVIDENCE_TTL_S - age_s)
        return period * hold.duration_s - age_s

    def _period(self, hold: Hold) -> int:
        """Return how many times the duration of a hold has passed."""
        age_s = self._evidence.clock() - hold.last_at
        return max(0, int(age_s / hold.duration_s))

    def _handle_hold_change(
        self, keys: list[str], before: Hold | None, hold: Hold | None
    ) -> None:
        """Log a change, and recall the prompts that are held now."""
        if self._archive is not None:
            self._archive.notify()
        log = logger.bind(part=keys[0], parts=len(keys))
        if hold is None:
            for key in keys:
                self._trials.pop(key, None)
            log.info('prompt_part_released')
            return
        recalled = self._recall(hold)
        if before is None or before.crashes != hold.crashes or recalled:
            log.bind(
                common_parts=_first_parts(hold.common_parts),
                crashes=self._evidence.crash_ids(hold.key),
                hold_s=hold.duration_s,
                recalled=recalled,
            ).warning('prompt_part_held')

    def _recall(self, hold: Hold) -> int:
        """Cancel the held prompts without an event; return their number."""
        recalled = 0
        if is_call(hold.key):
            # Whether an engine has begun to run a call is unknown.
            return recalled
        for running in self._running.values():
            scope = running.attempt.scope
            if scope is None or running.attempt.event_count:
                continue
            if hold.common_parts.issubset(running.prompt.keys):
                scope.cancel()
                recalled += 1
        return recalled


def _take_bytes(parts: Iterable[str], max_bytes: int) -> tuple[str, ...]:
    """Return the first parts that fit into so many bytes."""
    taken: list[str] = []
    size = 0
    for part in parts:
        size += len(part.encode()) + 1
        if size > max_bytes:
            break
        taken.append(part)
    return tuple(taken)


def _first_parts(parts: frozenset[str]) -> list[str]:
    return sorted(parts)[:MAX_SHOWN_PARTS]


def build_quarantine(
    peer_socket: PeerSocket,
    peers: EntryPeers,
    store: MetadataStore,
    prefix: str,
) -> Quarantine:
    """Return the quarantine of an entry.

    It shares its evidence with the other entries, and keeps what is behind a
    hold in the store under `prefix`.
    """
    link = CrashLink(peer_socket, peers, CrashEvidence())
    archive = CrashArchive(store, prefix, link)
    return Quarantine(link, peers, archive)

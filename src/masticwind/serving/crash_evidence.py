"""Which parts of prompts were present when engines crashed.

A prompt can crash each engine that begins to answer it (a poison request).
The culprit is found by comparison: a poison part is present at crashes, and no
prompt that lists it is ever answered. For each crash the evidence holds the
prompts that were about to be answered (suspects), and the keys that have been
cleared since, because a prompt with the key was answered after the crash was
known. A key is a part of a prompt, the whole prompt, or a call.

Crashes that happen together count once. A failed zone ends many engines at the
same time, and the large parts of the traffic are present at all of them. So
each attempt carries the score that its keys had when it was sent, and a crash
adds to that score. Only an attempt that is sent after an earlier crash was
known raises the score further.

All data only grows, so copies of several entries can be merged in any order
and more than once. A crash is identified by the process that ended, so it
counts once, however many entries had prompts there.

A call has no parts to compare, and no head of an answer before its end. It is
held after three crashes that only it explains, each under an attempt that was
sent after the crash before was known.
"""

import itertools
import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Annotated, Final

import msgspec

from masticwind.budget import boot_time
from masticwind.serving.fingerprints import (
    MAX_KEY_CHARS,
    MAX_PARTS,
    RequestFingerprint,
    is_call,
    is_whole_request,
)

MAX_SUSPECTS: Final = 16
MAX_CLEARED: Final = MAX_SUSPECTS * (MAX_PARTS + 1)
MAX_CRASHES: Final = 256
EVIDENCE_TTL_S: Final = 86_400.0
# What a crash adds to the score of a key, divided by the number of prompts that
# it may have been: more if the answer to a prompt with the key had begun than
# if the prompt only waited on the engine, and half if another prompt with the
# key had been answered shortly before.
BEGUN_SCORE: Final = 6
WAITING_SCORE: Final = 3
HELD_SCORE: Final = 12
MAX_SCORE: Final = 100 * HELD_SCORE
# Two different prompts must have crashed an engine before a part that they
# share is held; the prompt itself is held after its second crash.
MIN_CRASHES: Final = 2
MIN_PROMPTS: Final = 2
# What a crash adds to the score of a call, divided by the number of requests
# that may have caused it.
CALL_SCORE: Final = 12
HELD_CALL_SCORE: Final = 3 * CALL_SCORE
# A request that has crashed so many engines may be tried `MAX_TRIALS` times
# more, by all entries together; then it is held until an operator releases it
# or the evidence expires. One less than the three that are allowed, since two
# entries that don't reach each other may both try it.
TRIED_CRASHES: Final = 3
MAX_TRIALS: Final = 2
# Time after the last crash for which a key is held; doubles with each crash.
INITIAL_HOLD_S: Final = 30.0
MAX_HOLD_S: Final = 1800.0

Key = Annotated[str, msgspec.Meta(max_length=MAX_KEY_CHARS)]
Score = Annotated[int, msgspec.Meta(ge=0, le=MAX_SCORE)]
_PartKeys = Annotated[tuple[Key, ...], msgspec.Meta(max_length=MAX_PARTS)]
_PriorScores = Annotated[
    tuple[Score, ...], msgspec.Meta(max_length=MAX_PARTS + 1)
]


class Suspect(msgspec.Struct, array_like=True, frozen=True, order=True):
    """A prompt that had no event yet when its engine crashed.

    `prior_scores` are the scores that its keys, the prompt first, had when it
    was sent. `answer_begun` says that the head of its answer had arrived, and
    `answered_parts` are those of its parts that had been answered recently.
    """

    request_id: Key
    answer_begun: bool
    prompt: Key
    parts: _PartKeys
    prior_scores: _PriorScores
    answered_parts: _PartKeys = ()

    def scores(self) -> Iterator[tuple[str, int]]:
        """Yield each key with its prior score."""
        keys = (self.prompt, *self.parts)
        yield from zip(keys, self.prior_scores, strict=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class Hold:
    """A key whose prompts are rejected, and the evidence for it.

    `common_parts` has all parts that the prompts at these crashes share. While
    there are several, a prompt that lacks one of them is let through and shows
    which one it is.
    Times are on the evidence's clock.
    """

    key: str
    common_parts: frozenset[str]
    crashes: int
    first_at: float
    last_at: float

    @property
    def trials_left(self) -> int | None:
        """How many trials may follow this last crash; None is no limit."""
        if not is_whole_request(self.key):
            return None
        return max(0, MAX_TRIALS - max(0, self.crashes - TRIED_CRASHES))

    @property
    def remembered_s(self) -> float:
        """Time for which the reports must survive the end of all entries.

        The trials of a request are limited over all of its life.
        """
        if self.trials_left is None:
            return self.duration_s
        return EVIDENCE_TTL_S

    @property
    def duration_s(self) -> float:
        """Time after the last crash for which the key is held."""
        return min(
            MAX_HOLD_S,
            math.ldexp(INITIAL_HOLD_S, self.crashes - MIN_CRASHES),
        )


# Called with a key, and its hold before and after a change.
HoldListener = Callable[[str, Hold | None, Hold | None], None]


@dataclass(slots=True)
class Crash:
    """One process of an endpoint that ended while prompts waited there."""

    observed_at: float
    suspects: dict[str, Suspect] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)

    def culprits(self) -> list[Suspect]:
        """Return the prompts whose answers had begun, else all that waited."""
        begun = [one for one in self.suspects.values() if one.answer_begun]
        return begun or list(self.suspects.values())

    def accused_keys(self) -> set[str]:
        """Return the keys that this crash speaks against."""
        keys: set[str] = set()
        for suspect in self.culprits():
            keys.update((suspect.prompt, *suspect.parts))
        return keys - self.cleared


class CrashEvidence:
    """The crashes that are known to this entry, and the keys that it holds."""

    def __init__(self, clock: Callable[[], float] = boot_time) -> None:
        self.clock: Final = clock
        self._crashes: Final[dict[str, Crash]] = {}
        self._crashes_by_key: Final[dict[str, set[str]]] = {}
        self._scores: Final[dict[str, int]] = {}
        self._holds: Final[dict[str, Hold]] = {}
        self._calls: Final[set[str]] = set()
        self.on_hold_change: HoldListener = _ignore_hold_change

    def merge(
        self,
        crash_id: str,
        observed_at: float,
        suspects: Iterable[Suspect] = (),
        cleared: Iterable[str] = (),
    ) -> bool:
        """Add what is known of a crash; tell whether anything was new."""
        if observed_at + EVIDENCE_TTL_S < self.clock():
            return False
        crash = self._crashes.get(crash_id)
        is_new = crash is None
        if crash is None:
            self._make_room()
            crash = Crash(observed_at)
            self._crashes[crash_id] = crash
        crash.observed_at = min(crash.observed_at, observed_at)
        before = (dict(crash.suspects), len(crash.cleared))
        for suspect in suspects:
            _add_suspect(crash, suspect)
        room = max(0, MAX_CLEARED - len(crash.cleared))
        crash.cleared.update(itertools.islice(cleared, room))
        if not is_new and before == (crash.suspects, len(crash.cleared)):
            return False
        self._update_keys(crash_id, crash)
        return True

    def crashes(self) -> dict[str, Crash]:
        """Return the crashes that speak against any key, by their id."""
        return {
            crash_id: crash
            for crash_id, crash in self._crashes.items()
            if crash.accused_keys()
        }

    def accusations(self, keys: Iterable[str]) -> list[tuple[str, str]]:
        """Return the crash and the key of each accusation against `keys`."""
        return [
            (crash_id, key)
            for key in keys
            for crash_id in self._crashes_by_key.get(key, ())
        ]

    def crash_ids(self, key: str) -> list[str]:
        """Return the crashes that speak against a key."""
        return sorted(self._crashes_by_key.get(key, ()))

    def is_known(self, crash_id: str) -> bool:
        """Tell whether a crash is known and not expired."""
        return crash_id in self._crashes

    def crash(self, crash_id: str) -> Crash:
        """Return a crash that is known."""
        return self._crashes[crash_id]

    def score(self, key: str) -> int:
        """Return the score of a key; zero if nothing speaks against it."""
        return self._scores.get(key, 0)

    def prior_score(self, key: str) -> int:
        """Return what a suspect with this key tells as its prior score.

        For a call, it is the number of crashes that speak against it.
        """
        if is_call(key):
            return min(MAX_SCORE, len(self._crashes_by_key.get(key, ())))
        return self.score(key)

    @property
    def has_calls(self) -> bool:
        """Whether any crash speaks against a call."""
        return bool(self._calls)

    def holds(self) -> dict[str, Hold]:
        """Return the holds by their keys."""
        return dict(self._holds)

    def find_hold(self, prompt: RequestFingerprint) -> Hold | None:
        """Return the hold that rejects a prompt, if there is one."""
        if not self._holds:
            return None
        for key in prompt.keys:
            hold = self._holds.get(key)
            if hold is not None and hold.common_parts.issubset(prompt.keys):
                return hold
        return None

    def remove_expired(self) -> None:
        """Drop the crashes that are too old."""
        oldest = self.clock() - EVIDENCE_TTL_S
        for crash_id, crash in list(self._crashes.items()):
            if crash.observed_at < oldest:
                self._remove(crash_id)

    def _make_room(self) -> None:
        """Drop the oldest crash, of those without a held key if there are any.

        So a held key cannot be released by causing other crashes.
        """
        if len(self._crashes) < MAX_CRASHES:
            return
        by_age = sorted(
            self._crashes, key=lambda one: self._crashes[one].observed_at
        )
        for crash_id in by_age:
            if not self._holds.keys() & self._crashes[crash_id].accused_keys():
                self._remove(crash_id)
                return
        self._remove(by_age[0])

    def _remove(self, crash_id: str) -> None:
        self._update_keys(crash_id, self._crashes.pop(crash_id))

    def _update_keys(self, crash_id: str, crash: Crash) -> None:
        """Update the index and the holds for all keys of a crash."""
        accused: set[str] = set()
        if crash_id in self._crashes:
            accused = crash.accused_keys()
        keys = set(crash.cleared)
        for suspect in crash.suspects.values():
            keys.update((suspect.prompt, *suspect.parts))
        for key in keys:
            crash_ids = self._crashes_by_key.setdefault(key, set())
            if key in accused:
                crash_ids.add(crash_id)
            else:
                crash_ids.discard(crash_id)
        for key in keys:
            self._update_hold(key)

    def _update_hold(self, key: str) -> None:
        before = self._holds.pop(key, None)
        self._scores.pop(key, None)
        after: Hold | None = None
        if self._crashes_by_key[key]:
            after = self._evaluate_key(key)
            if is_call(key):
                self._calls.add(key)
        else:
            self._crashes_by_key.pop(key)
            self._calls.discard(key)
        if after is not None:
            self._holds[key] = after
        if before != after:
            self.on_hold_change(key, before, after)

    def _evaluate_key(self, key: str) -> Hold | None:
        """Update the score of a key; return a hold if the evidence suffices."""
        crash_ids = self._crashes_by_key[key]
        crashes = [self._crashes[crash_id] for crash_id in crash_ids]
        accusing = [
            (crash, suspect)
            for crash in crashes
            for suspect in crash.culprits()
            if key in (suspect.prompt, *suspect.parts)
        ]
        if is_call(key):
            score = self._score_call(key, accusing)
            held_score = HELD_CALL_SCORE
        else:
            score = max(
                _score(crash, suspect, key) for crash, suspect in accusing
            )
            held_score = HELD_SCORE
        self._scores[key] = score
        prompts = {suspect.prompt for _, suspect in accusing}
        min_prompts = 1 if is_whole_request(key) else MIN_PROMPTS
        if (
            score < held_score
            or len(crashes) < MIN_CRASHES
            or len(prompts) < min_prompts
        ):
            return None
        return Hold(
            key=key,
            common_parts=_find_common_parts(key, accusing),
            crashes=len(crashes),
            first_at=min(crash.observed_at for crash in crashes),
            last_at=max(crash.observed_at for crash in crashes),
        )

    def _score_call(
        self, key: str, accusing: list[tuple[Crash, Suspect]]
    ) -> int:
        """Return the score of a call.

        Of the crashes under attempts that were sent when as many crashes were
        known, one counts: they may have happened together. Each is divided
        among the requests that were present at no fewer crashes.
        """
        crashes = len(self._crashes_by_key[key])
        scores: dict[int, int] = {}
        for crash, suspect in accusing:
            rivals = {
                culprit.prompt
                for culprit in crash.culprits()
                if culprit.prompt not in crash.cleared
                and len(self._crashes_by_key.get(culprit.prompt, ())) >= crashes
            }
            prior = max(suspect.prior_scores, default=0)
            added = CALL_SCORE // len(rivals | {key})
            scores[prior] = max(scores.get(prior, 0), added)
        return min(MAX_SCORE, sum(scores.values()))


def _ignore_hold_change(
    _key: str, _before: Hold | None, _after: Hold | None
) -> None:
    """Do nothing; the listener until another one is set."""


def _add_suspect(crash: Crash, suspect: Suspect) -> None:
    """Add a suspect; of two under one id, the greater one counts.

    With too many suspects, those stay whose answers had begun.
    """
    known = crash.suspects.get(suspect.request_id, suspect)
    crash.suspects[suspect.request_id] = max(known, suspect)
    if len(crash.suspects) <= MAX_SUSPECTS:
        return
    least = min(
        crash.suspects.values(),
        key=lambda one: (one.answer_begun, one.request_id),
    )
    crash.suspects.pop(least.request_id)


def _score(crash: Crash, suspect: Suspect, key: str) -> int:
    """Return the score of a key after a crash that speaks against it."""
    added = BEGUN_SCORE if suspect.answer_begun else WAITING_SCORE
    if key in suspect.answered_parts:
        added //= 2
    prompts = {culprit.prompt for culprit in crash.culprits()}
    prior_scores = (score for one, score in suspect.scores() if one == key)
    score = max(1, added // len(prompts)) + max(prior_scores, default=0)
    return min(MAX_SCORE, score)


def _find_common_parts(
    key: str, accusing: list[tuple[Crash, Suspect]]
) -> frozenset[str]:
    """Return the parts that all these prompts share with the key."""
    if is_whole_request(key):
        return frozenset((key,))
    common_parts: set[str] | None = None
    for crash, suspect in accusing:
        parts = set(suspect.parts) - crash.cleared
        common_parts = parts if common_parts is None else common_parts & parts
    return frozenset((key, *(common_parts or ())))

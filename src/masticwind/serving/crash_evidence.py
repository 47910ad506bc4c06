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
from collections.abc import Callable, Iterable, Iterator, Sequence
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
# Keys of the suspects of one crash.
MAX_CRASH_KEYS: Final = 12_288
MAX_CLEARED: Final = MAX_CRASH_KEYS
MAX_CRASHES: Final = 256
# Keys of all crashes together.
MAX_EVIDENCE_KEYS: Final = 32_768
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
    was sent; without any, all were zero. `answer_begun` says that the head of
    its answer had arrived, and `answered_parts` are those of its parts that had
    been answered recently.
    """

    request_id: Key
    answer_begun: bool
    prompt: Key
    parts: _PartKeys
    prior_scores: _PriorScores
    answered_parts: _PartKeys = ()

    @property
    def keys(self) -> tuple[str, ...]:
        """All keys of the prompt, the prompt first."""
        return (self.prompt, *self.parts)

    def without_parts(self) -> 'Suspect':
        """Return a suspect that speaks against the whole prompt only."""
        return msgspec.structs.replace(
            self,
            parts=(),
            prior_scores=self.prior_scores[:1],
            answered_parts=(),
        )

    def scores(self) -> Iterator[tuple[str, int]]:
        """Yield each key with its prior score."""
        scores = itertools.chain(self.prior_scores, itertools.repeat(0))
        yield from zip(self.keys, scores, strict=False)


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


# Called with keys whose holds are alike, and the hold of the first of them
# before and after a change.
HoldListener = Callable[[list[str], Hold | None, Hold | None], None]


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
            keys.update(suspect.keys)
        return keys - self.cleared

    def accuses_any(self) -> bool:
        """Tell whether this crash speaks against any key."""
        return any(
            not self.cleared.issuperset(suspect.keys)
            for suspect in self.culprits()
        )

    def key_count(self) -> int:
        """Return the number of keys of the suspects."""
        return sum(_count_keys(one) for one in self.suspects.values())


@dataclass(slots=True)
class _Case:
    """What speaks against one key; `accusing` are positions of a list."""

    score: int = 0
    accusing: list[int] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _Common:
    """What the prompts at the crashes of some keys have in common."""

    prompts: int
    crashes: int
    common_parts: frozenset[str]
    first_at: float
    last_at: float


class _Comparison:
    """The cases of some keys.

    Keys with the same suspects are compared once, and equal sets of parts are
    kept once, as prompts may have thousands of parts.
    """

    def __init__(self) -> None:
        self.cases: Final[dict[str, _Case]] = {}
        self._accusing: Final[list[tuple[Crash, Suspect]]] = []
        self._common: Final[dict[tuple[int, ...], _Common]] = {}
        self._sets: Final[dict[frozenset[str], frozenset[str]]] = {}

    def keep_sets(self, holds: Iterable[Hold]) -> None:
        """Use the sets of earlier holds where they are equal."""
        for hold in holds:
            self._sets.setdefault(hold.common_parts, hold.common_parts)

    def add(self, crash: Crash, keys: set[str]) -> None:
        """Add what a crash says against each of `keys`."""
        culprits = crash.culprits()
        prompts = len({culprit.prompt for culprit in culprits})
        for suspect in culprits:
            scores = _new_scores(keys, crash, suspect, prompts)
            for key, score in scores.items():
                self._add_score(key, score)
            self._accusing.append((crash, suspect))

    def accusing_of(self, case: _Case) -> list[tuple[Crash, Suspect]]:
        """Return the suspects of a case, each with its crash."""
        return [self._accusing[position] for position in case.accusing]

    def create_hold(self, key: str, case: _Case) -> Hold | None:
        """Return the hold of a key, if there are enough crashes and prompts."""
        group = tuple(case.accusing)
        common = self._common.get(group)
        if common is None:
            common = self._compare(case)
            self._common[group] = common
        is_whole = is_whole_request(key)
        min_prompts = 1 if is_whole else MIN_PROMPTS
        if common.crashes < MIN_CRASHES or common.prompts < min_prompts:
            return None
        return Hold(
            key=key,
            common_parts=frozenset((key,)) if is_whole else common.common_parts,
            crashes=common.crashes,
            first_at=common.first_at,
            last_at=common.last_at,
        )

    def _add_score(self, key: str, score: int) -> None:
        case = self.cases.get(key)
        if case is None:
            case = _Case()
            self.cases[key] = case
        case.accusing.append(len(self._accusing))
        case.score = max(case.score, score)

    def _compare(self, case: _Case) -> _Common:
        accusing = self.accusing_of(case)
        common_parts = frozenset(
            set.intersection(
                *(set(one.parts) - crash.cleared for crash, one in accusing)
            )
        )
        crashes = {id(crash): crash for crash, _ in accusing}
        times = [crash.observed_at for crash in crashes.values()]
        return _Common(
            prompts=len({suspect.prompt for _, suspect in accusing}),
            crashes=len(crashes),
            common_parts=self._sets.setdefault(common_parts, common_parts),
            first_at=min(times),
            last_at=max(times),
        )


class CrashEvidence:
    """The crashes that are known to this entry, and the keys that it holds."""

    def __init__(self, clock: Callable[[], float] = boot_time) -> None:
        self.clock: Final = clock
        self._crashes: Final[dict[str, Crash]] = {}
        self._crashes_by_key: Final[dict[str, set[str]]] = {}
        self._scores: Final[dict[str, int]] = {}
        self._holds: Final[dict[str, Hold]] = {}
        self._key_count = 0
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
        added = tuple(suspects)
        if crash is None:
            if self._would_be_dropped(observed_at, added):
                return False
            crash = Crash(observed_at)
            self._crashes[crash_id] = crash
        crash.observed_at = min(crash.observed_at, observed_at)
        before = dict(crash.suspects)
        self._key_count -= crash.key_count()
        for suspect in added:
            _add_suspect(crash, suspect)
        has_cleared = _add_cleared(crash, cleared)
        self._key_count += crash.key_count()
        if not is_new and before == crash.suspects and not has_cleared:
            return False
        dropped = [
            one
            for one in before.values()
            if crash.suspects.get(one.request_id) != one
        ]
        keys = self._index(crash_id, crash, dropped)
        self._update_holds(keys | self._make_room(crash_id))
        return True

    def clear(self, cleared_keys: dict[str, list[str]]) -> None:
        """Clear keys at crashes that are known."""
        keys: set[str] = set()
        for crash_id, cleared in cleared_keys.items():
            crash = self._crashes[crash_id]
            _add_cleared(crash, cleared)
            keys |= self._index(crash_id, crash)
        self._update_holds(keys)

    def crashes(self) -> dict[str, Crash]:
        """Return the crashes that speak against any key, by their id."""
        return {
            crash_id: crash
            for crash_id, crash in self._crashes.items()
            if crash.accuses_any()
        }

    def accusations(self, keys: Iterable[str]) -> list[tuple[str, str]]:
        """Return the crash and the key of each accusation against `keys`."""
        if not self._crashes_by_key:
            return []
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

    def prior_scores(self, keys: tuple[str, ...]) -> tuple[int, ...]:
        """Return the prior scores of keys, none if nothing is known."""
        if not self._crashes_by_key:
            return ()
        return tuple(map(self.prior_score, keys))

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
        keys = frozenset(prompt.keys)
        lacking: set[frozenset[str]] = set()
        for key in prompt.keys:
            hold = self._holds.get(key)
            if hold is None or hold.common_parts in lacking:
                continue
            if hold.common_parts <= keys:
                return hold
            lacking.add(hold.common_parts)
        return None

    def remove_expired(self) -> None:
        """Drop the crashes that are too old."""
        oldest = self.clock() - EVIDENCE_TTL_S
        for crash_id, crash in list(self._crashes.items()):
            if crash.observed_at < oldest:
                self._update_holds(self._remove(crash_id))

    def _make_room(self, newest_id: str) -> set[str]:
        """Drop the oldest crashes, first those without a held key.

        So a held key cannot be released by causing other crashes. Returns the
        keys of what was dropped.
        """
        keys: set[str] = set()
        while self._is_full() and len(self._crashes) > 1:
            keys |= self._drop_oldest(newest_id)
        return keys

    def _would_be_dropped(
        self, observed_at: float, suspects: Sequence[Suspect]
    ) -> bool:
        """Tell whether a crash that is not known would be dropped again.

        Otherwise entries that have dropped different crashes would replace
        them with each other's for ever.
        """
        key_count = sum(map(_count_keys, suspects))
        if not self._is_full(crashes=1, keys=key_count):
            return False
        held = self._holds.keys()
        if not all(held.isdisjoint(one.keys) for one in suspects):
            return False
        crashes = self._crashes.values()
        unheld = [one for one in crashes if held.isdisjoint(one.accused_keys())]
        return all(observed_at < one.observed_at for one in unheld or crashes)

    def _is_full(self, crashes: int = 0, keys: int = 0) -> bool:
        """Tell whether a limit is exceeded with so many more."""
        return (
            len(self._crashes) + crashes > MAX_CRASHES
            or self._key_count + keys > MAX_EVIDENCE_KEYS
        )

    def _drop_oldest(self, newest_id: str) -> set[str]:
        by_age = sorted(
            self._crashes.keys() - {newest_id},
            key=lambda one: (self._crashes[one].observed_at, one),
        )
        for crash_id in by_age:
            if self._crashes[crash_id].accused_keys().isdisjoint(self._holds):
                return self._remove(crash_id)
        return self._remove(by_age[0])

    def _remove(self, crash_id: str) -> set[str]:
        crash = self._crashes.pop(crash_id)
        self._key_count -= crash.key_count()
        return self._index(crash_id, crash)

    def _index(
        self, crash_id: str, crash: Crash, dropped: Iterable[Suspect] = ()
    ) -> set[str]:
        """Update the index for all keys of a crash; return them."""
        accused: set[str] = set()
        if crash_id in self._crashes:
            accused = crash.accused_keys()
        keys = set(crash.cleared)
        for suspect in itertools.chain(crash.suspects.values(), dropped):
            keys.update(suspect.keys)
        for key in keys:
            crash_ids = self._crashes_by_key.setdefault(key, set())
            if key in accused:
                crash_ids.add(crash_id)
            else:
                crash_ids.discard(crash_id)
        return keys

    def _update_holds(self, keys: set[str]) -> None:
        """Update the scores and holds of keys, and tell of changed holds."""
        before = {
            key: self._holds.pop(key) for key in keys & self._holds.keys()
        }
        comparison = self._compare_crashes(keys)
        comparison.keep_sets(before.values())
        for key in keys:
            self._scores.pop(key, None)
            case = comparison.cases.get(key)
            if case is None:
                self._crashes_by_key.pop(key, None)
                self._calls.discard(key)
                continue
            held_score = HELD_SCORE
            if is_call(key):
                self._calls.add(key)
                case.score = self._score_call(key, comparison.accusing_of(case))
                held_score = HELD_CALL_SCORE
            self._scores[key] = case.score
            if case.score < held_score:
                continue
            hold = comparison.create_hold(key, case)
            if hold is not None:
                self._holds[key] = hold
        self._report_changes(keys, before)

    def _compare_crashes(self, keys: set[str]) -> _Comparison:
        """Return what speaks against each key, in one pass over the crashes."""
        crash_ids: set[str] = set()
        for key in keys:
            crash_ids.update(self._crashes_by_key[key])
        comparison = _Comparison()
        for crash_id in sorted(crash_ids):
            comparison.add(self._crashes[crash_id], keys)
        return comparison

    def _report_changes(self, keys: set[str], before: dict[str, Hold]) -> None:
        """Tell of changed holds, once for all keys whose holds are alike."""
        changed: dict[tuple[object, ...], list[str]] = {}
        for key in sorted(keys & (before.keys() | self._holds.keys())):
            former, hold = before.get(key), self._holds.get(key)
            if former != hold:
                group = (_group_of(former), _group_of(hold))
                changed.setdefault(group, []).append(key)
        for alike in changed.values():
            first = alike[0]
            self.on_hold_change(
                alike, before.get(first), self._holds.get(first)
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
    _keys: list[str], _before: Hold | None, _after: Hold | None
) -> None:
    """Do nothing; the listener until another one is set."""


def _group_of(hold: Hold | None) -> tuple[object, ...]:
    """Return what is alike in holds that differ by their key only."""
    if hold is None:
        return ()
    return (hold.common_parts, hold.crashes, hold.first_at, hold.last_at)


def _count_keys(suspect: Suspect) -> int:
    return len(suspect.parts) + 1


def _add_suspect(crash: Crash, suspect: Suspect) -> None:
    """Add a suspect; of two under one id, the greater one counts.

    Once the answer of one had begun, those whose answers had not are dropped.
    With too many keys, suspects keep their whole prompt only, so that the
    others are not accused more than with all of them.
    """
    known = crash.suspects.get(suspect.request_id, suspect)
    crash.suspects[suspect.request_id] = max(known, suspect)
    by_weight = sorted(
        crash.culprits(), key=lambda one: one.request_id, reverse=True
    )
    crash.suspects.clear()
    key_count = 0
    for one in by_weight[:MAX_SUSPECTS]:
        kept = one
        if key_count and key_count + _count_keys(one) > MAX_CRASH_KEYS:
            kept = one.without_parts()
        key_count += _count_keys(kept)
        crash.suspects[kept.request_id] = kept


def _add_cleared(crash: Crash, cleared: Iterable[str]) -> bool:
    """Add cleared keys; tell whether any is new.

    With too many, those of the suspects stay.
    """
    added = set(cleared) - crash.cleared
    crash.cleared |= added
    if len(crash.cleared) > MAX_CLEARED:
        keys = {key for one in crash.suspects.values() for key in one.keys}
        others = sorted(crash.cleared - keys)
        crash.cleared &= keys
        crash.cleared.update(others[: MAX_CLEARED - len(crash.cleared)])
    return not added.isdisjoint(crash.cleared)


def _new_scores(
    keys: set[str], crash: Crash, suspect: Suspect, prompts: int
) -> dict[str, int]:
    """Return the scores of those of `keys` that a suspect speaks against.

    A crash under several prompts divides its score among them.
    """
    added = BEGUN_SCORE if suspect.answer_begun else WAITING_SCORE
    answered = frozenset(suspect.answered_parts)
    score = max(1, added // prompts)
    answered_score = max(1, added // 2 // prompts)
    scores: dict[str, int] = {}
    for key, prior_score in suspect.scores():
        if key not in keys or key in crash.cleared:
            continue
        new_score = answered_score if key in answered else score
        new_score = min(MAX_SCORE, prior_score + new_score)
        scores[key] = max(scores.get(key, 0), new_score)
    return scores

"""What endpoints have said of themselves: that they leave, or want a pause.

Both hold for the process that said so, until it is forgotten or its pause is
over. They are known from proved answers to this entry only. Other entries are
not told: a pause is asked of one entry, and one more answer tells each entry
that an endpoint is leaving, while a wrong message could take away a sound one.

A leaving endpoint gets no more work. If no other endpoint is left to a request
that may be repeated, it may still get it within `leave_ms` of the first answer
that said so.

After a pause, one request tries the endpoint. Its answer starts a ramp, in
which the number of requests doubles in steps. Until then the endpoint counts
as one that takes requests later, and more urgent requests go first.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from loguru import logger

from masticwind.budget import MS_PER_S, boot_time
from masticwind.serving.interfaces import EndpointNotice
from masticwind.serving.model import LOWEST_PRIORITY, Endpoint
from masticwind.serving.settings import LiveSettings

# Latest return after the end of a pause. Entries return at different times.
MAX_RETURN_DELAY_S: Final = 0.5
# Time after which another request tries an endpoint that has not answered.
TRIAL_TIMEOUT_S: Final = 1.0
RAMP_STEP_S: Final = 0.25
RAMP_STEPS: Final = 8
# Time for which requests with a higher priority go first.
PRIORITY_MEMORY_S: Final = 4.0
# Time after a pause in which an endpoint is tried before it gets more requests.
RETURN_MEMORY_S: Final = 30.0
MAX_ENDPOINTS: Final = 4096


@dataclass(slots=True)
class _Leaving:
    started_at_ms: int
    began_at: float
    reachable: bool = True


@dataclass(slots=True, kw_only=True)
class _Pause:
    """A pause, and the return after it.

    `named_s` is the longest time that the endpoint has named, and `ends_at`
    when this entry may send to it again, `delay_s` after the named time.
    `tried_at` is when a request has last tried the endpoint after the pause,
    and `ramp_began_at` when the endpoint has answered one. `sent` counts the
    requests since then.
    """

    started_at_ms: int
    named_s: float
    began_at: float
    delay_s: float
    ends_at: float
    top_priority: int = LOWEST_PRIORITY
    top_priority_at: float = 0
    end_logged: bool = False
    tried_at: float | None = None
    ramp_began_at: float | None = None
    sent: int = 0


class EndpointNotices:
    """Which endpoints are leaving or pausing, as far as this entry knows."""

    def __init__(
        self,
        settings: LiveSettings,
        clock: Callable[[], float] = boot_time,
        rng: random.Random | None = None,
    ) -> None:
        self.clock: Final = clock
        self._settings: Final = settings
        self._rng: Final = rng or random.Random()
        self._leaving: Final[dict[str, _Leaving]] = {}
        self._pauses: Final[dict[str, _Pause]] = {}

    def observe(
        self,
        endpoint: Endpoint,
        notice: EndpointNotice | None,
        sent_at: float,
    ) -> None:
        """Record what an answer said; None if it proves nothing.

        `sent_at` is when its request was sent, on the clock of this object.
        """
        if notice is None:
            return
        if notice.leaving:
            self._record_leaving(endpoint)
        if notice.pause_s:
            self._record_pause(endpoint, notice.pause_s)
            return
        pause = self._find_pause(endpoint)
        if (
            pause is not None
            and pause.ramp_began_at is None
            and sent_at >= pause.ends_at
        ):
            pause.ramp_began_at = self.clock()

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint's present process has said so."""
        leaving = self._leaving.get(endpoint.identity)
        return (
            leaving is not None
            and leaving.started_at_ms == endpoint.started_at_ms
        )

    def is_last_resort(self, endpoint: Endpoint) -> bool:
        """Tell whether a leaving endpoint may get a request that no other
        endpoint can run.
        """
        if not self.is_leaving(endpoint):
            return False
        leaving = self._leaving[endpoint.identity]
        age_s = self.clock() - leaving.began_at
        return (
            leaving.reachable
            and age_s < self._settings.bounds.leave_ms / MS_PER_S
        )

    def record_unreachable(self, endpoint: Endpoint) -> None:
        """Record that a leaving endpoint has probably ended."""
        leaving = self._leaving.get(endpoint.identity)
        if leaving is not None:
            leaving.reachable = False

    def is_returning(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint pauses, or has returned only recently."""
        return self._find_pause(endpoint) is not None

    def wait_ms(self, endpoint: Endpoint, priority: int) -> float:
        """Return the time until an endpoint may get a request of a priority.

        It is a lower bound while the endpoint returns from a pause.
        """
        pause = self._find_pause(endpoint)
        if pause is None:
            return 0.0
        now = self.clock()
        is_urgent = _is_urgent(pause, priority, now)
        if now < pause.ends_at:
            wait_s = pause.ends_at - now
            if not is_urgent:
                wait_s += RAMP_STEP_S
            return wait_s * MS_PER_S
        self._log_end(endpoint.identity, pause)
        quota = _quota(pause, now)
        if not is_urgent:
            quota //= 2
        return 0.0 if pause.sent < quota else RAMP_STEP_S * MS_PER_S

    def record_request(self, endpoint: Endpoint) -> None:
        """Count a request that is about to be sent to an endpoint."""
        pause = self._find_pause(endpoint)
        if pause is None:
            return
        if pause.ramp_began_at is None:
            pause.tried_at = self.clock()
        else:
            pause.sent += 1

    def find_obstacle(
        self, endpoint: Endpoint, *, last_resort: bool = False
    ) -> str:
        """Return why an endpoint must not get any request now, or ''.

        As the `last_resort` of a request, it may be leaving.
        """
        if self.is_leaving(endpoint) and not (
            last_resort and self.is_last_resort(endpoint)
        ):
            return f'{endpoint.identity} is leaving'
        pause = self._find_pause(endpoint)
        if pause is not None and self.clock() < pause.ends_at:
            return f'{endpoint.identity} has asked for a pause'
        return ''

    def leaving_count(self) -> int:
        """Return the number of endpoints that are leaving."""
        return len(self._leaving)

    def paused_count(self) -> int:
        """Return the number of endpoints that pause at present."""
        now = self.clock()
        return sum(now < pause.ends_at for pause in self._pauses.values())

    def is_empty(self) -> bool:
        """Tell whether no endpoint leaves, pauses or returns."""
        return not self._leaving and not self._pauses

    def describe_leaving(self) -> list[dict[str, object]]:
        """Return the endpoints that are leaving, for operators."""
        now = self.clock()
        return [
            {
                'endpoint': identity,
                'age_s': round(now - leaving.began_at, 3),
            }
            for identity, leaving in sorted(self._leaving.items())
        ]

    def describe_pauses(self) -> list[dict[str, object]]:
        """Return the endpoints that pause or return, for operators."""
        now = self.clock()
        return [
            {
                'endpoint': identity,
                'pause_s': pause.named_s,
                'age_s': round(now - pause.began_at, 3),
                'left_s': round(max(0.0, pause.ends_at - now), 3),
            }
            for identity, pause in sorted(self._pauses.items())
        ]

    def forget(self, identity: str) -> None:
        """Drop all that is known of an endpoint that is gone."""
        self._leaving.pop(identity, None)
        self._pauses.pop(identity, None)

    def remove_expired(self, find: Callable[[str], Endpoint | None]) -> None:
        """Drop what former processes have said, and pauses that are over.

        `find` returns the present process of an endpoint.
        """
        for identity in tuple(self._leaving) + tuple(self._pauses):
            endpoint = find(identity)
            if endpoint is not None:
                self._forget_former_process(endpoint)
        now = self.clock()
        for identity, pause in list(self._pauses.items()):
            if now >= pause.ends_at + RETURN_MEMORY_S:
                self._log_end(identity, pause)
                self._pauses.pop(identity)

    def _forget_former_process(self, endpoint: Endpoint) -> None:
        leaving = self._leaving.get(endpoint.identity)
        if leaving and leaving.started_at_ms < endpoint.started_at_ms:
            self._leaving.pop(endpoint.identity)
        pause = self._pauses.get(endpoint.identity)
        if pause and pause.started_at_ms < endpoint.started_at_ms:
            self._pauses.pop(endpoint.identity)

    def _record_leaving(self, endpoint: Endpoint) -> None:
        known = self._leaving.get(endpoint.identity)
        if known is not None and known.started_at_ms >= endpoint.started_at_ms:
            return
        _make_room(self._leaving, endpoint.identity)
        self._leaving[endpoint.identity] = _Leaving(
            endpoint.started_at_ms, self.clock()
        )
        log = logger.bind(endpoint=endpoint.identity, source='answer')
        log.info('endpoint_leaving')

    def _record_pause(self, endpoint: Endpoint, pause_s: float) -> None:
        known = self._pauses.get(endpoint.identity)
        if known is not None and known.started_at_ms > endpoint.started_at_ms:
            return
        now = self.clock()
        log = logger.bind(
            endpoint=endpoint.identity, pause_s=pause_s, source='answer'
        )
        if (
            known is None
            or known.started_at_ms < endpoint.started_at_ms
            or known.ends_at <= now
        ):
            if known is not None:
                self._log_end(endpoint.identity, known)
            _make_room(self._pauses, endpoint.identity)
            delay_s = self._rng.uniform(0, MAX_RETURN_DELAY_S)
            self._pauses[endpoint.identity] = _Pause(
                started_at_ms=endpoint.started_at_ms,
                named_s=pause_s,
                began_at=now,
                delay_s=delay_s,
                ends_at=now + pause_s + delay_s,
            )
            log.info('endpoint_pause_began')
            return
        # Answers overtake each other, so a shorter time does not end a pause.
        known.ends_at = max(known.ends_at, now + pause_s + known.delay_s)
        if pause_s > known.named_s:
            log.bind(
                before_s=known.named_s, age_s=round(now - known.began_at, 3)
            ).info('endpoint_pause_extended')
            known.named_s = pause_s

    def _find_pause(self, endpoint: Endpoint) -> _Pause | None:
        """Return the pause of an endpoint's present process, also while the
        endpoint returns from it.
        """
        pause = self._pauses.get(endpoint.identity)
        if pause is None or pause.started_at_ms != endpoint.started_at_ms:
            return None
        if (
            pause.ramp_began_at is not None
            and self.clock() - pause.ramp_began_at > RAMP_STEP_S * RAMP_STEPS
        ):
            self._pauses.pop(endpoint.identity)
            return None
        return pause

    def _log_end(self, identity: str, pause: _Pause) -> None:
        if pause.end_logged:
            return
        pause.end_logged = True
        logger.bind(
            endpoint=identity,
            pause_s=pause.named_s,
            age_s=round(pause.ends_at - pause.began_at, 3),
        ).info('endpoint_pause_ended')


def _is_urgent(pause: _Pause, priority: int, now: float) -> bool:
    """Tell whether a request is as urgent as any other recent one."""
    if (
        priority <= pause.top_priority
        or now - pause.top_priority_at > PRIORITY_MEMORY_S
    ):
        pause.top_priority = priority
        pause.top_priority_at = now
    return priority <= pause.top_priority


def _quota(pause: _Pause, now: float) -> int:
    """Return how many requests an endpoint may have got since its return."""
    if pause.ramp_began_at is None:
        awaits_answer = (
            pause.tried_at is not None
            and now - pause.tried_at < TRIAL_TIMEOUT_S
        )
        return 0 if awaits_answer else 1
    steps = int((now - pause.ramp_began_at) / RAMP_STEP_S)
    return 2 << steps


def _make_room(known: dict[str, Any], identity: str) -> None:
    """Drop the oldest entry of a table that is full."""
    if identity not in known and len(known) >= MAX_ENDPOINTS:
        oldest = next(iter(known))
        known.pop(oldest)
        logger.bind(endpoint=oldest).warning('too_many_notices')

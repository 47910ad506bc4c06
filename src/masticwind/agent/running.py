"""Tracks the requests that the engine is running."""

import time
from collections.abc import Iterator
from typing import Final

import anyio

from masticwind.agent.requests import AgentRequest, RequestKey
from masticwind.settings import AgentSettings

# After this time without a new short paid request, larger prefill steps are
# used.
QUIET_PERIOD_S: Final = 0.5
# A long prompt overtakes another only if its work is at most this fraction of
# the other's remaining work; prompts of similar length would otherwise overtake
# each other in turn.
MAX_OVERTAKE_RATIO: Final = 0.5


class RunningRequests:
    """The requests that were submitted to the engine and have not ended.

    The length includes orphaned streams. `emptied_at` is the time at which
    the last request ended.
    """

    def __init__(self, cfg: AgentSettings) -> None:
        self._cfg: Final = cfg
        self._requests: Final[dict[RequestKey, AgentRequest]] = {}
        self._changed = anyio.Event()
        self.orphan_count = 0
        self.last_short_start_at = 0.0
        self.emptied_at = 0.0

    def __len__(self) -> int:
        return len(self._requests) + self.orphan_count

    def __iter__(self) -> Iterator[AgentRequest]:
        return iter(tuple(self._requests.values()))

    def add(self, req: AgentRequest) -> None:
        """Add a request that is about to be submitted to the engine."""
        self._requests[req.key] = req
        req.prefilling = True
        if req.offer.paid and not self.is_long(req):
            self.last_short_start_at = time.monotonic()

    def remove(self, req: AgentRequest) -> None:
        """Remove a request that has ended at the engine."""
        self._requests.pop(req.key, None)
        if not self._requests:
            self.emptied_at = time.monotonic()
        self.mark_prefill_done(req)

    def mark_prefill_done(self, req: AgentRequest) -> None:
        """Mark a request's prefill as done, usually at its first token."""
        if req.prefilling:
            req.prefilling = False
            self.notify_change()

    def notify_change(self) -> None:
        """Wake the tasks in `wait_for_change`."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until a change is signalled or the timeout has passed."""
        with anyio.move_on_after(timeout_s):
            await self._changed.wait()

    def is_long(self, req: AgentRequest) -> bool:
        """Return whether a prompt counts as long."""
        return req.offer.prompt_tokens >= self._cfg.long_prompt_tokens

    def is_quiet(self) -> bool:
        """Return whether no short paid request has started recently."""
        return time.monotonic() - self.last_short_start_at > QUIET_PERIOD_S

    def has_long_prefill(self) -> bool:
        """Return whether a long prompt is in prefill."""
        return any(req.prefilling and self.is_long(req) for req in self)

    def may_overtake(self, req: AgentRequest) -> bool:
        """Return whether a long prompt may overtake those in prefill."""
        return all(
            req.uncached_tokens <= MAX_OVERTAKE_RATIO * other.uncached_tokens
            for other in self
            if other.prefilling and self.is_long(other)
        )

    def has_shorter_long_prefill(self, req: AgentRequest) -> bool:
        """Return whether a paid long prompt with less work is in prefill."""
        return any(
            other.uncached_tokens < req.uncached_tokens
            for other in self
            if other is not req
            and other.offer.paid
            and other.prefilling
            and self.is_long(other)
        )

    def short_prefill_tokens(self, *, paid: bool) -> int:
        """Return the outstanding prefill tokens of all but long prompts."""
        return sum(
            req.uncached_tokens
            for req in self
            if req.prefilling
            and req.offer.paid == paid
            and not self.is_long(req)
        )

    def has_paid_prefill(self) -> bool:
        """Return whether any paid prompt is in prefill."""
        return any(req.prefilling and req.offer.paid for req in self)

    def total_prefill_tokens(self) -> int:
        """Return the outstanding prefill tokens of all requests."""
        return sum(req.uncached_tokens for req in self if req.prefilling)

    def free_requests(self) -> list[AgentRequest]:
        """Return the free requests, the most recent arrival first."""
        return sorted(
            (req for req in self if not req.offer.paid),
            key=lambda req: -req.arrival_number,
        )

"""What the agent has in its engine right now."""

import time
from collections.abc import Iterator
from typing import Final

import anyio

from masticwind.agent.requests import AgentRequest, RequestKey
from masticwind.settings import AgentSettings

# Without a short paid request for this long, the engine is not spared.
QUIET_PERIOD_S: Final = 0.5
# A long prompt passes others only if it delays them by at most half of what
# they have left; prompts of similar length would else pass by turns.
MAX_OVERTAKE_RATIO: Final = 0.5


class RunningRequests:
    """The requests that were given to the engine and have not left it.

    `emptied_at` is when the last one left.
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
        """Note that a request goes to the engine now."""
        self._requests[req.key] = req
        req.prefilling = True
        if req.offer.paid and not self.is_long(req):
            self.last_short_start_at = time.monotonic()

    def remove(self, req: AgentRequest) -> None:
        """Note that the engine has let a request go."""
        self._requests.pop(req.key, None)
        if not self._requests:
            self.emptied_at = time.monotonic()
        self.mark_prefill_done(req)

    def mark_prefill_done(self, req: AgentRequest) -> None:
        """Note the first token, which ends a request's prefill."""
        if req.prefilling:
            req.prefilling = False
            self.notify_change()

    def notify_change(self) -> None:
        """Wake the queue and the prompts that wait for a turn."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait for a change, for `timeout_s` seconds at most."""
        with anyio.move_on_after(timeout_s):
            await self._changed.wait()

    def is_long(self, req: AgentRequest) -> bool:
        """Tell whether a prompt is fed in steps as a long one."""
        return req.offer.prompt_tokens >= self._cfg.long_prompt_tokens

    def is_quiet(self) -> bool:
        """Tell whether no short paid request has started recently."""
        return time.monotonic() - self.last_short_start_at > QUIET_PERIOD_S

    def has_long_prefill(self) -> bool:
        """Tell whether a long prompt is being computed."""
        return any(req.prefilling and self.is_long(req) for req in self)

    def may_overtake(self, req: AgentRequest) -> bool:
        """Tell whether a long prompt may start before those under way."""
        return all(
            req.uncached_tokens <= MAX_OVERTAKE_RATIO * one.uncached_tokens
            for one in self
            if one.prefilling and self.is_long(one)
        )

    def has_shorter_long_prefill(self, req: AgentRequest) -> bool:
        """Tell whether a shorter long prompt is being computed."""
        return any(
            one.uncached_tokens < req.uncached_tokens
            for one in self
            if one is not req
            and one.offer.paid
            and one.prefilling
            and self.is_long(one)
        )

    def short_prefill_tokens(self, *, paid: bool) -> int:
        """Return the outstanding prefill of prompts that are not long."""
        return sum(
            req.uncached_tokens
            for req in self
            if req.prefilling
            and req.offer.paid == paid
            and not self.is_long(req)
        )

    def has_paid_prefill(self) -> bool:
        """Tell whether any paid prompt is being computed."""
        return any(req.prefilling and req.offer.paid for req in self)

    def total_prefill_tokens(self) -> int:
        """Return the outstanding prefill of all requests."""
        return sum(req.uncached_tokens for req in self if req.prefilling)

    def free_requests(self) -> list[AgentRequest]:
        """Return the free requests, the latest first."""
        return sorted(
            (req for req in self if not req.offer.paid),
            key=lambda req: -req.arrival_number,
        )

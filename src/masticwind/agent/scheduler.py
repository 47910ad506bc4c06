"""Decides the order in which an agent starts queued requests.

Paid requests precede free ones. Within each of the two, start-time fair
queueing (SFQ) selects the team; the cost of a request is its uncached prompt
tokens plus its maximum output. The requests of a team are ordered by slack,
which is the time to the deadline minus the predicted service time. An urgent
request, whose slack is nearly used up, precedes the fair order while its team
is within its credit; the credit prevents a team from gaining more than its
fair share with short deadlines.
"""

from dataclasses import dataclass
from typing import Final

from masticwind.agent.ledger import MemoryLedger
from masticwind.agent.rates import Rates
from masticwind.agent.requests import AgentRequest
from masticwind.agent.running import RunningRequests
from masticwind.budget import boot_time
from masticwind.settings import AgentSettings

URGENT_SLACK_S: Final = 0.25
URGENT_SERVICE_RATIO: Final = 0.2
# Weighted tokens by which urgent requests may take a team ahead of its fair
# share.
URGENT_CREDIT_TOKENS: Final = 65_536
# Free requests use at most this fraction of the slots and the memory.
FREE_CAPACITY_FRACTION: Final = 0.75
# More outstanding prefill than this adds latency but no throughput.
PAID_PREFILL_WINDOW_S: Final = 0.2
FREE_PREFILL_WINDOW_S: Final = 0.02
# Minimum window in prefill steps. A smaller one would delay bursts that the
# engine can batch and so lower the measured rate that sets the window.
PAID_WINDOW_STEPS: Final = 4
MIN_WEIGHT: Final = 0.001

StartOrder = tuple[bool, bool, float, float, int]


@dataclass(frozen=True, slots=True)
class SchedulerDependencies:
    """Dependencies of a `Scheduler`."""

    cfg: AgentSettings
    ledger: MemoryLedger
    rates: Rates
    running: RunningRequests


class Scheduler:
    """Holds the queue of accepted requests and selects the next to start."""

    def __init__(self, deps: SchedulerDependencies) -> None:
        self._cfg: Final = deps.cfg
        self._ledger: Final = deps.ledger
        self._rates: Final = deps.rates
        self._running: Final = deps.running
        self._queue: Final[list[AgentRequest]] = []
        self._finish_tags: Final[dict[tuple[bool, str], float]] = {}
        self._virtual_times: Final[dict[bool, float]] = {True: 0.0, False: 0.0}

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, req: AgentRequest) -> None:
        """Queue a request whose body has been received."""
        req.state = 'queued'
        self._queue.append(req)

    def remove(self, req: AgentRequest) -> bool:
        """Remove a request from the queue; return false if it is not there."""
        if req not in self._queue:
            return False
        self._queue.remove(req)
        return True

    def queued(self) -> tuple[AgentRequest, ...]:
        """Return the queued requests in the order in which they were added."""
        return tuple(self._queue)

    def start_next(self, capacity: int) -> AgentRequest | None:
        """Dequeue the next request to start and reserve its memory."""
        if len(self._running) >= capacity:
            return None
        for req in sorted(self._queue, key=self._start_order):
            if not self._may_start(req, capacity):
                continue
            if not self._ledger.reserve(req.key, req.memory_tokens):
                # No later request may take the memory that an urgent paid
                # request waits for.
                if req.offer.paid and self.is_urgent(req):
                    return None
                continue
            self._queue.remove(req)
            self._charge_start(req)
            return req
        return None

    def select_preemptions(self, capacity: int) -> list[AgentRequest]:
        """Return the free requests to preempt for the first paid one.

        Only requests without output are preempted: the engine cannot pause a
        stream, and tokens must be neither lost nor repeated.
        """
        waiting = sorted(self._queue, key=self._start_order)
        if not waiting or not waiting[0].offer.paid:
            return []
        first_paid = waiting[0]
        missing_tokens = first_paid.memory_tokens - self._ledger.free_tokens
        missing_slots = 1 + len(self._running) - capacity
        victims: list[AgentRequest] = []
        for req in self._running.free_requests():
            if req.generated_tokens:
                continue
            if (
                missing_tokens <= 0
                and missing_slots <= 0
                and not self._blocks_long_prompt(req, first_paid)
            ):
                continue
            missing_tokens -= req.memory_tokens
            missing_slots -= 1
            if not req.preempted:
                victims.append(req)
        return victims if missing_tokens <= 0 and missing_slots <= 0 else []

    def slack_s(self, req: AgentRequest) -> float:
        """Return the seconds by which a start can still be delayed."""
        return req.budget.deadline - boot_time() - self._service_s(req)

    def is_urgent(self, req: AgentRequest) -> bool:
        """Return whether a request has little slack left."""
        urgent_slack_s = max(
            URGENT_SLACK_S, URGENT_SERVICE_RATIO * self._service_s(req)
        )
        return self.slack_s(req) < urgent_slack_s

    def cannot_meet_deadline(self, req: AgentRequest) -> bool:
        """Return whether the deadline is missed even by an immediate start."""
        min_service_s = self._rates.predict_min_service_s(
            req.uncached_tokens,
            req.offer.max_tokens,
        )
        return req.budget.remaining_s() <= min_service_s

    def refund_unused_output(self, req: AgentRequest) -> None:
        """Refund a team for the output tokens that were not generated."""
        team = (req.offer.paid, req.offer.team)
        unused_tokens = max(0, req.offer.max_tokens - req.generated_tokens)
        virtual_time = self._virtual_times[req.offer.paid]
        finish_tag = self._finish_tags.pop(
            team, virtual_time
        ) - unused_tokens / _weight(req)
        # A tag at or below the virtual time has no effect and is dropped.
        if finish_tag > virtual_time:
            self._finish_tags[team] = finish_tag

    def _service_s(self, req: AgentRequest) -> float:
        return self._rates.predict_service_s(
            req.uncached_tokens, req.offer.max_tokens
        )

    def _start_order(self, req: AgentRequest) -> StartOrder:
        offer = req.offer
        virtual_time = self._virtual_times[offer.paid]
        start_tag = max(
            virtual_time, self._finish_tags.get((offer.paid, offer.team), 0)
        )
        in_credit = start_tag - virtual_time <= URGENT_CREDIT_TOKENS
        slack_s = self.slack_s(req)
        if in_credit and self.is_urgent(req):
            return not offer.paid, False, 0.0, slack_s, req.arrival_number
        return not offer.paid, True, start_tag, slack_s, req.arrival_number

    def _charge_start(self, req: AgentRequest) -> None:
        offer = req.offer
        team = (offer.paid, offer.team)
        virtual_time = self._virtual_times[offer.paid]
        start_tag = max(virtual_time, self._finish_tags.get(team, 0))
        cost_tokens = req.uncached_tokens + offer.max_tokens
        self._finish_tags[team] = start_tag + cost_tokens / _weight(req)
        others = [
            max(
                virtual_time,
                self._finish_tags.get((offer.paid, other.offer.team), 0),
            )
            for other in self._queue
            if other.offer.paid == offer.paid
        ]
        # The virtual time is the minimum start tag of the teams with work.
        self._virtual_times[offer.paid] = min([start_tag, *others])

    def _blocks_long_prompt(
        self, free: AgentRequest, paid: AgentRequest
    ) -> bool:
        """Return whether a free long prefill keeps a paid long one waiting."""
        running = self._running
        return (
            free.prefilling and running.is_long(free) and running.is_long(paid)
        )

    def _may_start(self, req: AgentRequest, capacity: int) -> bool:
        if not req.offer.paid:
            return self._free_may_start(req, capacity)
        if self._running.is_long(req):
            return self._running.may_overtake(req)
        return self._fits_prefill_window(req, PAID_PREFILL_WINDOW_S)

    def _fits_prefill_window(self, req: AgentRequest, window_s: float) -> bool:
        outstanding_tokens = self._running.short_prefill_tokens(
            paid=req.offer.paid
        )
        if not outstanding_tokens:
            return True
        window_tokens = self._rates.peak_tokens_per_s * window_s
        window_steps = PAID_WINDOW_STEPS if req.offer.paid else 0
        if not window_steps and self._running.is_quiet():
            window_steps = 1
        window_tokens = max(
            window_tokens, window_steps * self._cfg.prefill_step_tokens
        )
        return outstanding_tokens + req.uncached_tokens <= window_tokens

    def _free_may_start(self, req: AgentRequest, capacity: int) -> bool:
        if any(other.offer.paid for other in self._queue):
            return False
        if self._running.is_long(req) and self._running.has_long_prefill():
            return False
        free = self._running.free_requests()
        if len(free) >= max(1, int(capacity * FREE_CAPACITY_FRACTION)):
            return False
        held_tokens = sum(other.memory_tokens for other in free)
        if (
            held_tokens + req.memory_tokens
            > self._ledger.total_tokens * FREE_CAPACITY_FRACTION
        ):
            return False
        return self._fits_prefill_window(req, FREE_PREFILL_WINDOW_S)


def _weight(req: AgentRequest) -> float:
    return max(req.offer.weight, MIN_WEIGHT)

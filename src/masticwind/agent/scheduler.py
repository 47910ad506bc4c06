"""The order in which an agent starts queued requests.

Paid work goes before free work. Within a tier, start-time fair queueing over
uncached prompt tokens plus output chooses the team, and the slack (deadline
minus predicted service time) orders the requests of a team. A request whose
slack runs out goes before the fair order, as long as its team has not used up
its credit; this keeps a large team from declaring everything urgent.
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
# Work that a team may run ahead of its fair share for urgent requests.
URGENT_CREDIT_TOKENS: Final = 65_536
# Free work leaves this share of slots and memory to paid requests.
FREE_CAPACITY_SHARE: Final = 0.75
# Outstanding prefill beyond this time adds latency and no throughput.
PAID_PREFILL_WINDOW_S: Final = 0.2
FREE_PREFILL_WINDOW_S: Final = 0.02
# A smaller window would hold back bursts that the engine batches, and would
# lower the rate from which it is made.
PAID_WINDOW_STEPS: Final = 4
MIN_WEIGHT: Final = 0.001

StartOrder = tuple[bool, bool, float, float, int]


@dataclass(frozen=True, slots=True)
class SchedulerDependencies:
    """What a scheduler looks at."""

    cfg: AgentSettings
    ledger: MemoryLedger
    rates: Rates
    running: RunningRequests


class Scheduler:
    """Queue of accepted requests and the decision what starts next."""

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
        """Queue a request whose body is complete."""
        req.state = 'queued'
        self._queue.append(req)

    def remove(self, req: AgentRequest) -> bool:
        """Take a request out of the queue; false if it is not in it."""
        if req not in self._queue:
            return False
        self._queue.remove(req)
        return True

    def queued(self) -> tuple[AgentRequest, ...]:
        """Return the waiting requests in the order of their arrival."""
        return tuple(self._queue)

    def start_next(self, capacity: int) -> AgentRequest | None:
        """Take the next request to start and reserve its memory."""
        if len(self._running) >= capacity:
            return None
        for req in sorted(self._queue, key=self._start_order):
            if not self._may_start(req, capacity):
                continue
            if not self._ledger.reserve(req.key, req.memory_tokens):
                # Memory is kept for urgent paid work that waits for it.
                if req.offer.paid and self.is_urgent(req):
                    return None
                continue
            self._queue.remove(req)
            self._charge_start(req)
            return req
        return None

    def select_preemptions(self, capacity: int) -> list[AgentRequest]:
        """Return the free requests to stop for the first paid one.

        Only a request without output can be stopped: the engine cannot
        pause a stream, and its tokens must neither be lost nor repeated.
        """
        waiting = sorted(self._queue, key=self._start_order)
        if not waiting or not waiting[0].offer.paid:
            return []
        first = waiting[0]
        missing_tokens = first.memory_tokens - self._ledger.free_tokens
        missing_slots = 1 + len(self._running) - capacity
        chosen: list[AgentRequest] = []
        for req in self._running.free_requests():
            if req.generated_tokens:
                continue
            if (
                missing_tokens <= 0
                and missing_slots <= 0
                and not self._blocks_long_prompt(req, first)
            ):
                continue
            missing_tokens -= req.memory_tokens
            missing_slots -= 1
            if not req.preempted:
                chosen.append(req)
        return chosen if missing_tokens <= 0 and missing_slots <= 0 else []

    def slack_s(self, req: AgentRequest) -> float:
        """Return the seconds by which a request can still be delayed."""
        return req.budget.deadline - boot_time() - self._service_s(req)

    def is_urgent(self, req: AgentRequest) -> bool:
        """Tell whether a request's slack is running out."""
        urgent_slack_s = max(
            URGENT_SLACK_S, URGENT_SERVICE_RATIO * self._service_s(req)
        )
        return self.slack_s(req) < urgent_slack_s

    def cannot_meet_deadline(self, req: AgentRequest) -> bool:
        """Tell whether even a start now would miss the deadline."""
        min_service_s = self._rates.predict_min_service_s(
            req.uncached_tokens,
            req.offer.max_tokens,
        )
        return req.budget.remaining_s() <= min_service_s

    def refund_unused_output(self, req: AgentRequest) -> None:
        """Correct a team's charge by what was not generated."""
        team = (req.offer.paid, req.offer.team)
        unused_tokens = max(0, req.offer.max_tokens - req.generated_tokens)
        virtual_time = self._virtual_times[req.offer.paid]
        finish_tag = self._finish_tags.pop(
            team, virtual_time
        ) - unused_tokens / _weight(req)
        # A team without a lead needs no entry.
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
                self._finish_tags.get((offer.paid, one.offer.team), 0),
            )
            for one in self._queue
            if one.offer.paid == offer.paid
        ]
        # Virtual time follows the team that is furthest behind.
        self._virtual_times[offer.paid] = min([start_tag, *others])

    def _blocks_long_prompt(
        self, free: AgentRequest, paid: AgentRequest
    ) -> bool:
        """Tell whether a free long prompt has the turn of a paid one."""
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
        if any(one.offer.paid for one in self._queue):
            return False
        if self._running.is_long(req) and self._running.has_long_prefill():
            return False
        free = self._running.free_requests()
        if len(free) >= max(1, int(capacity * FREE_CAPACITY_SHARE)):
            return False
        held_tokens = sum(one.memory_tokens for one in free)
        if (
            held_tokens + req.memory_tokens
            > self._ledger.total_tokens * FREE_CAPACITY_SHARE
        ):
            return False
        return self._fits_prefill_window(req, FREE_PREFILL_WINDOW_S)


def _weight(req: AgentRequest) -> float:
    return max(req.offer.weight, MIN_WEIGHT)

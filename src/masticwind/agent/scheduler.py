"""The order in which an agent starts queued requests.

Paid work goes before free work. Within a tier, start-time fair queueing over
uncached prompt tokens plus output chooses the team, and the slack (deadline
minus predicted service time) orders the requests of a team. A request whose
slack runs out goes before the fair order, as long as its team has not used up
its credit; this keeps a large team from declaring everything urgent.
"""

from dataclasses import dataclass
from typing import Final

from masticwind.agent.ledger import Ledger
from masticwind.agent.rates import Rates
from masticwind.agent.requests import AgentRequest
from masticwind.agent.running import Running
from masticwind.budget import boot_time
from masticwind.settings import AgentSettings

URGENT_SLACK_S: Final = 0.25
URGENT_SHARE: Final = 0.2
# Work that a team may run ahead of its fair share for urgent requests.
URGENT_CREDIT_TOKENS: Final = 65_536
# Free work leaves this share of slots and memory to paid requests.
FREE_SHARE: Final = 0.75
# Outstanding prefill beyond this time adds latency and no throughput.
PREFILL_WINDOW_S: Final = 0.2
FREE_WINDOW_S: Final = 0.02
# A smaller window would hold back bursts that the engine batches, and would
# lower the rate from which it is made.
PAID_WINDOW_STEPS: Final = 4
MIN_WEIGHT: Final = 0.001

Urgency = tuple[bool, bool, float, float, int]


@dataclass(frozen=True, slots=True)
class SchedulerParts:
    """What a scheduler looks at."""

    cfg: AgentSettings
    ledger: Ledger
    rates: Rates
    running: Running


class Scheduler:
    """Queue of accepted requests and the decision what starts next."""

    def __init__(self, parts: SchedulerParts) -> None:
        self._cfg: Final = parts.cfg
        self._ledger: Final = parts.ledger
        self._rates: Final = parts.rates
        self._running: Final = parts.running
        self._queue: Final[list[AgentRequest]] = []
        self._finish: Final[dict[tuple[bool, str], float]] = {}
        self._virtual: Final[dict[bool, float]] = {True: 0.0, False: 0.0}

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
        for req in sorted(self._queue, key=self._urgency):
            if not self._may_start(req, capacity):
                continue
            if not self._ledger.reserve(req.key, req.memory_tokens):
                # Memory is kept for urgent paid work that waits for it.
                if req.offer.paid and self.urgent(req):
                    return None
                continue
            self._queue.remove(req)
            self._charge_start(req)
            return req
        return None

    def preemptible(self, capacity: int) -> list[AgentRequest]:
        """Return the free requests to stop for the first paid one.

        Only a request without output can be stopped: the engine cannot
        pause a stream, and its tokens must neither be lost nor repeated.
        """
        waiting = sorted(self._queue, key=self._urgency)
        if not waiting or not waiting[0].offer.paid:
            return []
        first = waiting[0]
        need = first.memory_tokens - self._ledger.free_tokens
        slots = 1 + len(self._running) - capacity
        chosen: list[AgentRequest] = []
        for req in self._running.free_requests():
            if req.generated_tokens:
                continue
            if need <= 0 and slots <= 0 and not self._bars(req, first):
                continue
            need -= req.memory_tokens
            slots -= 1
            if not req.preempted:
                chosen.append(req)
        return chosen if need <= 0 and slots <= 0 else []

    def slack_s(self, req: AgentRequest) -> float:
        """Return the seconds by which a request can still be delayed."""
        return req.budget.deadline - boot_time() - self._service_s(req)

    def urgent(self, req: AgentRequest) -> bool:
        """Tell whether a request's slack is running out."""
        limit = max(URGENT_SLACK_S, URGENT_SHARE * self._service_s(req))
        return self.slack_s(req) < limit

    def hopeless(self, req: AgentRequest) -> bool:
        """Tell whether even a start now would miss the deadline."""
        least_s = self._rates.least_service_s(
            req.uncached_tokens,
            req.offer.max_tokens,
        )
        return req.budget.remaining_s() <= least_s

    def charge_end(self, req: AgentRequest) -> None:
        """Correct a team's charge by what was not generated."""
        team = (req.offer.paid, req.offer.team)
        unused = max(0, req.offer.max_tokens - req.generated_tokens)
        floor = self._virtual[req.offer.paid]
        finish = self._finish.pop(team, floor) - unused / _weight(req)
        # A team without a lead needs no entry.
        if finish > floor:
            self._finish[team] = finish

    def _service_s(self, req: AgentRequest) -> float:
        return self._rates.service_s(req.uncached_tokens, req.offer.max_tokens)

    def _urgency(self, req: AgentRequest) -> Urgency:
        offer = req.offer
        virtual = self._virtual[offer.paid]
        tag = max(virtual, self._finish.get((offer.paid, offer.team), 0))
        in_credit = tag - virtual <= URGENT_CREDIT_TOKENS
        slack = self.slack_s(req)
        if in_credit and self.urgent(req):
            return not offer.paid, False, 0.0, slack, req.order
        return not offer.paid, True, tag, slack, req.order

    def _charge_start(self, req: AgentRequest) -> None:
        offer = req.offer
        team = (offer.paid, offer.team)
        virtual = self._virtual[offer.paid]
        tag = max(virtual, self._finish.get(team, 0))
        cost = req.uncached_tokens + offer.max_tokens
        self._finish[team] = tag + cost / _weight(req)
        others = [
            max(
                virtual,
                self._finish.get((offer.paid, one.offer.team), 0),
            )
            for one in self._queue
            if one.offer.paid == offer.paid
        ]
        # Virtual time follows the team that is furthest behind.
        self._virtual[offer.paid] = min([tag, *others])

    def _bars(self, free: AgentRequest, paid: AgentRequest) -> bool:
        """Tell whether a free long prompt has the turn of a paid one."""
        running = self._running
        return (
            free.prefilling and running.is_long(free) and running.is_long(paid)
        )

    def _may_start(self, req: AgentRequest, capacity: int) -> bool:
        if not req.offer.paid:
            return self._free_may_start(req, capacity)
        if self._running.is_long(req):
            return self._running.may_pass(req)
        return self._in_window(req, PREFILL_WINDOW_S)

    def _in_window(self, req: AgentRequest, window_s: float) -> bool:
        outstanding = self._running.short_prefill_tokens(paid=req.offer.paid)
        if not outstanding:
            return True
        window = self._rates.peak_tokens_per_s * window_s
        steps = PAID_WINDOW_STEPS if req.offer.paid else 0
        if not steps and self._running.quiet():
            steps = 1
        window = max(window, steps * self._cfg.prefill_step_tokens)
        return outstanding + req.uncached_tokens <= window

    def _free_may_start(self, req: AgentRequest, capacity: int) -> bool:
        if any(one.offer.paid for one in self._queue):
            return False
        if self._running.is_long(req) and self._running.long_prefill():
            return False
        free = self._running.free_requests()
        if len(free) >= max(1, int(capacity * FREE_SHARE)):
            return False
        held = sum(one.memory_tokens for one in free)
        if held + req.memory_tokens > self._ledger.total_tokens * FREE_SHARE:
            return False
        return self._in_window(req, FREE_WINDOW_S)


def _weight(req: AgentRequest) -> float:
    return max(req.offer.weight, MIN_WEIGHT)

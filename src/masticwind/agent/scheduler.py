"""The order in which an agent starts queued requests.

Paid work goes first, by remaining slack; free work runs only when no paid
request waits.
"""

from typing import Final

from masticwind.agent.ledger import Ledger
from masticwind.agent.requests import AgentRequest
from masticwind.settings import AgentSettings


class Scheduler:
    """Queue of accepted requests and the decision what starts next."""

    def __init__(self, cfg: AgentSettings, ledger: Ledger) -> None:
        self._cfg: Final = cfg
        self._ledger: Final = ledger
        self._queue: Final[list[AgentRequest]] = []

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

    def take(self, running: int, capacity: int) -> AgentRequest | None:
        """Take the next request to start and reserve its memory."""
        if running >= capacity:
            return None
        self._queue.sort(key=_urgency)
        for req in self._queue:
            if self._ledger.reserve(req.key, req.memory_tokens):
                self._queue.remove(req)
                return req
        return None

    def work_tokens(self, *, paid: bool) -> int:
        """Return the prefill work that waits in one class of service."""
        return sum(
            req.offer.prompt_tokens
            for req in self._queue
            if req.offer.paid == paid
        )


def _urgency(req: AgentRequest) -> tuple[bool, float]:
    return not req.offer.paid, req.budget.deadline

"""Assembles the parts that decide how much of the requests is sent."""

from dataclasses import dataclass
from typing import Final

from masticwind.byte_budget import ByteBudget
from masticwind.memory_shares import shared_memory_mb
from masticwind.serving.admission.bounds import RetryBudget
from masticwind.serving.admission.fair_overload import FairOverload
from masticwind.serving.admission.return_promises import (
    PromiseBook,
    ReturnPromises,
)
from masticwind.serving.datagrams import PeerSocket
from masticwind.serving.peers import EntryPeers
from masticwind.serving.placement.prompt_placer import PromptPlacer
from masticwind.serving.settings import DEFAULT_MEMORY_MB, LiveSettings
from masticwind.serving.telemetry import Telemetry

REFUSE_LATE: Final = 'refuse_late'


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionParts:
    """The limits of an entry, and its policy at overload.

    Without `promises`, refused callers are not recognized.
    """

    byte_budget: ByteBudget
    retry_budget: RetryBudget
    prompt_placer: PromptPlacer
    promises: PromiseBook | None

    def promise_count(self) -> int:
        """Return the number of promises that are kept."""
        return 0 if self.promises is None else self.promises.count()


def build_admission(
    settings: LiveSettings,
    peer_socket: PeerSocket,
    peers: EntryPeers,
    telemetry: Telemetry,
) -> AdmissionParts:
    """Build the parts; to change the policy takes a restart."""
    cfg = settings.cfg
    promises: PromiseBook | None = None
    policy: FairOverload | None = None
    if cfg.overload != REFUSE_LATE:
        promises = ReturnPromises(peer_socket, peers).book
        policy = FairOverload(
            promises,
            lambda decision: telemetry.overload_decisions.labels(
                decision
            ).inc(),
        )
    return AdmissionParts(
        byte_budget=ByteBudget(
            shared_memory_mb(cfg.memory_mb or DEFAULT_MEMORY_MB)
        ),
        retry_budget=RetryBudget(settings, peers.count),
        prompt_placer=PromptPlacer(overload=policy),
        promises=promises,
    )

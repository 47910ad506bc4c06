"""The collaborators with which requests are placed and sent."""

from dataclasses import dataclass, field

from masticwind.byte_budget import ByteBudget
from masticwind.serving.admission.bounds import ColdEndpointLimiter, RetryBudget
from masticwind.serving.admission.return_promises import PromiseBook
from masticwind.serving.costs.model import STATIC_COSTS, CostModel
from masticwind.serving.directory import EndpointDirectory, OperatorState
from masticwind.serving.endpoint_notices import EndpointNotices
from masticwind.serving.interfaces import EndpointClient
from masticwind.serving.lifetime import Lifetime
from masticwind.serving.limit_link import LimitLink
from masticwind.serving.placement.endpoint_news import EndpointNews
from masticwind.serving.placement.health import EndpointHealth
from masticwind.serving.placement.helper_faults import HelperFaults
from masticwind.serving.placement.load_table import LoadTable
from masticwind.serving.placement.placer import CallPlacer, Placer
from masticwind.serving.placement.prompt_placer import PromptPlacer
from masticwind.serving.placement.reach import ZoneReachability
from masticwind.serving.quarantine import Quarantine
from masticwind.serving.settings import LiveSettings
from masticwind.serving.telemetry import Telemetry
from masticwind.serving.turns import TurnQueue


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayDependencies:
    """Collaborators of the relay and its parts.

    Without `promises`, no request is recognized when it comes back.
    """

    settings: LiveSettings
    directory: EndpointDirectory
    operator_state: OperatorState
    health: EndpointHealth
    load_table: LoadTable
    endpoint_client: EndpointClient
    retry_budget: RetryBudget
    cold_limiter: ColdEndpointLimiter
    limit_link: LimitLink
    notices: EndpointNotices
    news: EndpointNews
    quarantine: Quarantine
    telemetry: Telemetry
    lifetime: Lifetime
    byte_budget: ByteBudget
    reach: ZoneReachability = field(default_factory=ZoneReachability)
    helper_faults: HelperFaults = field(default_factory=HelperFaults)
    turns: TurnQueue = field(default_factory=TurnQueue)
    call_placer: Placer = field(default_factory=CallPlacer)
    prompt_placer: Placer = field(default_factory=PromptPlacer)
    promises: PromiseBook | None = None
    costs: CostModel = STATIC_COSTS

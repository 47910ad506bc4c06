"""Creates an entry's load table and the cost model that learns from it."""

from dataclasses import dataclass

from masticwind.serving.costs.learned import LearnedCostModel
from masticwind.serving.costs.model import STATIC_COSTS, CostModel
from masticwind.serving.placement.load_table import LoadTable
from masticwind.serving.settings import DirectSettings
from masticwind.serving.telemetry import Telemetry


@dataclass(frozen=True, slots=True)
class LoadAndCosts:
    """The load table of an entry, and the cost model of its placements."""

    load_table: LoadTable
    model: CostModel


def build_load_and_costs(
    cfg: DirectSettings, telemetry: Telemetry
) -> LoadAndCosts:
    """Create the load table, and a cost model as the settings want it."""
    if not cfg.learned_costs:
        return LoadAndCosts(LoadTable(), STATIC_COSTS)
    learned = LearnedCostModel()
    telemetry.add_gauge(
        'masticwind_learned_cost_keys',
        'Routes, and teams on a route, of which durations are learned',
        learned.key_count,
    )
    return LoadAndCosts(LoadTable(observer=learned), learned)

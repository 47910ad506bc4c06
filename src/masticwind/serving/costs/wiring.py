"""Creates an entry's load table and the cost model that learns from it."""

from dataclasses import dataclass
from functools import partial

from masticwind.serving.costs.learned import LearnedCostModel, PredictionError
from masticwind.serving.costs.model import STATIC_COSTS, CostModel
from masticwind.serving.placement.load_table import LoadTable
from masticwind.serving.settings import DirectSettings
from masticwind.serving.telemetry import Telemetry, prompt_size_label


@dataclass(frozen=True, slots=True)
class LoadAndCosts:
    """The load table of an entry, and the cost model of its placements."""

    load_table: LoadTable
    model: CostModel


def build_load_and_costs(
    cfg: DirectSettings, telemetry: Telemetry
) -> LoadAndCosts:
    """Create the load table, and a cost model as the settings want it."""
    learned = LearnedCostModel(record_error=partial(_record_error, telemetry))
    telemetry.add_gauge(
        'masticwind_learned_cost_keys',
        'Routes, and teams on a route, of which durations are learned',
        learned.key_count,
    )
    if not cfg.learned_costs:
        return LoadAndCosts(LoadTable(), STATIC_COSTS)
    return LoadAndCosts(LoadTable(observer=learned), learned)


def _record_error(telemetry: Telemetry, error: PredictionError) -> None:
    size = prompt_size_label(error.context_tokens)
    time_label = 'whole' if error.whole else 'first_event'
    histogram = telemetry.prediction_error
    histogram.labels(size, time_label, 'corrected').observe(error.ratio)
    histogram.labels(size, time_label, 'profile').observe(error.profile_ratio)

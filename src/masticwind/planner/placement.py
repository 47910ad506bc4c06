"""Chooses which endpoint of an availability zone loads or unloads a model.

At most one order is planned for a zone at a time. Nothing is planned while
the view of the zone is incomplete, because a wrong order costs minutes of
loading.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, Literal

from masticwind.config.model import Configuration
from masticwind.protocol.messages import Load, LoadState

# No order is planned if a smaller fraction of the listed endpoints has a fresh
# report, because the other endpoints may have loaded the model already.
MIN_FRESH_REPORT_FRACTION: Final = 0.8


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointView:
    """An endpoint and its load report; `load` is None if that is not fresh."""

    endpoint: str
    load: Load | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """An order for one endpoint to load or unload a model."""

    endpoint: str
    action: Literal['load_model', 'unload_model']
    model: str
    version: str


def plan_order(
    config: Configuration,
    zone: str,
    views: Sequence[EndpointView],
    listed_count: int = 0,
) -> Order | None:
    """Return the next order for a zone, or None if none is needed.

    `listed_count` is the number of endpoints in the zone according to the
    platform, which can exceed the number of views.

    Loads are ordered before unloads, so that moving a model never lowers its
    number of endpoints below the configured one.
    """
    if not _is_view_complete(views, listed_count):
        return None
    serving = [view for view in views if _is_engine_in_state(view, 'serving')]
    # Cold engines count too: an engine without a model gets no requests and
    # therefore stays cold, and one that has just loaded a model is still cold.
    usable = [
        *serving,
        *(view for view in views if _is_engine_in_state(view, 'cold')),
    ]
    for name, model in config.models.items():
        wanted_count = model.replicas.get(zone)
        if (
            wanted_count is None
            or _count_with_model(usable, name) >= wanted_count
        ):
            continue
        chosen = _least_loaded(usable, name, has_model=False)
        if chosen is not None:
            return Order(
                endpoint=chosen.endpoint,
                action='load_model',
                model=name,
                version=model.version,
            )
    return _plan_unload(config, zone, serving)


def _plan_unload(
    config: Configuration,
    zone: str,
    serving: Sequence[EndpointView],
) -> Order | None:
    for name, model in config.models.items():
        wanted_count = model.replicas.get(zone)
        if (
            wanted_count is None
            or _count_with_model(serving, name) <= wanted_count
        ):
            continue
        chosen = _least_loaded(serving, name, has_model=True)
        if chosen is not None:
            return Order(
                endpoint=chosen.endpoint,
                action='unload_model',
                model=name,
                version=model.version,
            )
    return None


def _is_view_complete(views: Sequence[EndpointView], listed_count: int) -> bool:
    fresh_count = sum(view.load is not None for view in views)
    expected_count = max(len(views), listed_count)
    return (
        bool(views)
        and fresh_count >= MIN_FRESH_REPORT_FRACTION * expected_count
    )


def _is_engine_in_state(view: EndpointView, state: LoadState) -> bool:
    load = view.load
    return load is not None and load.kind == 'engine' and load.state == state


def _count_with_model(views: Sequence[EndpointView], model: str) -> int:
    return sum(
        view.load is not None and model in view.load.models for view in views
    )


def _least_loaded(
    views: Sequence[EndpointView],
    model: str,
    *,
    has_model: bool,
) -> EndpointView | None:
    chosen: EndpointView | None = None
    lowest_work_tokens = 0
    for view in views:
        if view.load is None or (model in view.load.models) != has_model:
            continue
        work_tokens = view.load.paid_work_tokens + view.load.free_work_tokens
        work_tokens += sum(view.load.paid_long_tokens)
        if chosen is None or work_tokens < lowest_work_tokens:
            chosen = view
            lowest_work_tokens = work_tokens
    return chosen

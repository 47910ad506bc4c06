"""Which endpoint of an availability zone should load or unload a model.

A plan holds at most one order for a zone at a time. Nothing is planned while
the view of the zone is incomplete: a wrong order costs minutes of loading.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, Literal

from masticwind.config.model import Configuration
from masticwind.protocol.messages import Load, LoadState

# Below this share of listed endpoints with a fresh report, a zone is left
# as it is: the missing ones may carry the model already.
MIN_VISIBLE_SHARE: Final = 0.8


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointView:
    """An endpoint as the planner sees it; no load means no fresh report."""

    endpoint: str
    load: Load | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """An order to one endpoint."""

    endpoint: str
    action: Literal['load_model', 'unload_model']
    model: str
    version: str


def plan_order(
    config: Configuration,
    zone: str,
    views: Sequence[EndpointView],
    listed: int = 0,
) -> Order | None:
    """Return the next order for a zone, or nothing.

    `listed` is the number of endpoints in the zone as the platform lists
    them, which may be more than there are views.

    A model that has too few endpoints goes before one that has too many, so
    that a move never lowers the number of endpoints below the wanted one.
    """
    if not _complete(views, listed):
        return None
    serving = [view for view in views if _in_state(view, 'serving')]
    # An engine without a model gets no requests and so stays in its ramp; a
    # model that was just loaded is there, although its engine is cold.
    usable = [
        *serving,
        *(view for view in views if _in_state(view, 'cold')),
    ]
    for name, model in config.models.items():
        wanted = model.replicas.get(zone)
        if wanted is None or _carriers(usable, name) >= wanted:
            continue
        chosen = _least_loaded(usable, name, carrying=False)
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
        wanted = model.replicas.get(zone)
        if wanted is None or _carriers(serving, name) <= wanted:
            continue
        chosen = _least_loaded(serving, name, carrying=True)
        if chosen is not None:
            return Order(
                endpoint=chosen.endpoint,
                action='unload_model',
                model=name,
                version=model.version,
            )
    return None


def _complete(views: Sequence[EndpointView], listed: int) -> bool:
    fresh = sum(view.load is not None for view in views)
    wanted = max(len(views), listed)
    return bool(views) and fresh >= MIN_VISIBLE_SHARE * wanted


def _in_state(view: EndpointView, state: LoadState) -> bool:
    load = view.load
    return load is not None and load.kind == 'engine' and load.state == state


def _carriers(views: Sequence[EndpointView], model: str) -> int:
    return sum(
        view.load is not None and model in view.load.models for view in views
    )


def _least_loaded(
    views: Sequence[EndpointView],
    model: str,
    *,
    carrying: bool,
) -> EndpointView | None:
    chosen: EndpointView | None = None
    lowest = 0
    for view in views:
        if view.load is None or (model in view.load.models) != carrying:
            continue
        work = view.load.paid_work_tokens + view.load.free_work_tokens
        work += sum(view.load.paid_long_tokens)
        if chosen is None or work < lowest:
            chosen = view
            lowest = work
    return chosen

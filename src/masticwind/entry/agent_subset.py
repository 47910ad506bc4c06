"""Which agents an entry connects to.

While the fleet is no larger than the fan-out, every entry takes all of it.
In a larger fleet, each entry ranks the agents of every availability zone and
service by rendezvous hashing and takes the first ones, so that a change of
the list moves few connections. Each group gets its share of the fan-out.
"""

from collections.abc import Sequence

import xxhash

from masticwind.settings import EntrySettings
from masticwind.store.base import Instance


def choose_subset(
    cfg: EntrySettings,
    listed: Sequence[Instance],
) -> Sequence[Instance]:
    """Return the agents that an entry connects to.

    An entry that plans placement also takes all agents of its own
    availability zone, because it must see every copy of a model there.
    """
    agents = [one for one in listed if one.role == 'agent']
    fan_out = cfg.peers.fan_out
    if len(agents) <= fan_out:
        return agents
    chosen: list[Instance] = []
    for place in sorted({(one.zone, one.service) for one in agents}):
        group = [one for one in agents if (one.zone, one.service) == place]
        # Rounded up, so that a small group has at least one agent.
        share = -(-fan_out * len(group) // len(agents))
        if cfg.planner and place[0] == cfg.zone:
            share = len(group)
        chosen.extend(_ranked(cfg.node, group)[:share])
    return chosen


def _ranked(node: str, group: Sequence[Instance]) -> list[Instance]:
    return sorted(
        group,
        key=lambda one: xxhash.xxh3_64_intdigest(
            f'{node}/{one.node}'.encode(),
        ),
    )

"""Chooses the agents that an entry connects to.

If the fleet has no more agents than the fan-out, every entry connects to all
of them. In a larger fleet, each entry ranks the agents of each availability
zone and service by rendezvous hashing and connects to the first ones, so that
few connections change with the instance list. Each zone and service gets a
part of the fan-out in proportion to its agents.
"""

from collections.abc import Sequence

import xxhash

from masticwind.settings import EntrySettings
from masticwind.store.base import Instance


def choose_subset(
    cfg: EntrySettings,
    instances: Sequence[Instance],
) -> Sequence[Instance]:
    """Return the agents that an entry connects to.

    An entry that plans placement also connects to all agents of its own
    availability zone, because it must see every copy of a model there.
    """
    agents = [instance for instance in instances if instance.role == 'agent']
    fan_out = cfg.peers.fan_out
    if len(agents) <= fan_out:
        return agents
    chosen: list[Instance] = []
    for zone_and_service in sorted(
        {(instance.zone, instance.service) for instance in agents}
    ):
        group = [
            instance
            for instance in agents
            if (instance.zone, instance.service) == zone_and_service
        ]
        # Rounded up, so that each group has at least one agent.
        count = -(-fan_out * len(group) // len(agents))
        if cfg.planner and zone_and_service[0] == cfg.zone:
            count = len(group)
        chosen.extend(_ranked(cfg.node, group)[:count])
    return chosen


def _ranked(node: str, group: Sequence[Instance]) -> list[Instance]:
    return sorted(
        group,
        key=lambda instance: xxhash.xxh3_64_intdigest(
            f'{node}/{instance.node}'.encode(),
        ),
    )

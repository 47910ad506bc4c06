"""Which agents an entry connects to.

While the fleet is no larger than the fan-out, every entry takes all of it.
In a larger fleet, each entry ranks the agents of every availability zone and
service by rendezvous hashing and takes the first ones, so that a change of
the list moves few connections. Each group gets its share of the fan-out.
"""

from collections.abc import Sequence

import xxhash

from masticwind.platform.base import Instance


def choose_subset(
    node: str,
    listed: Sequence[Instance],
    fan_out: int,
) -> Sequence[Instance]:
    """Return the agents that the entry `node` connects to."""
    agents = [one for one in listed if one.role == 'agent']
    if len(agents) <= fan_out:
        return agents
    chosen: list[Instance] = []
    for place in sorted({(one.zone, one.service) for one in agents}):
        group = [one for one in agents if (one.zone, one.service) == place]
        # Rounded up, so that a small group has at least one agent.
        share = -(-fan_out * len(group) // len(agents))
        chosen.extend(_ranked(node, group)[:share])
    return chosen


def _ranked(node: str, group: Sequence[Instance]) -> list[Instance]:
    return sorted(
        group,
        key=lambda one: xxhash.xxh3_64_intdigest(
            f'{node}/{one.node}'.encode(),
        ),
    )

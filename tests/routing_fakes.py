"""Fake links, jobs, settings and clock for tests of the entry."""

import time
from typing import Any

from masticwind.entry.affinity import AffinityIndex
from masticwind.entry.agent_pool import AgentLink
from masticwind.entry.predict import Job
from masticwind.protocol.messages import Load
from masticwind.settings import EntrySettings, PeerSettings
from masticwind.store.base import Instance


def entry_settings(**changes: Any) -> EntrySettings:
    """Return settings of an entry in zone-a."""
    return EntrySettings(
        node='entry-1',
        zone='zone-a',
        peers=PeerSettings(secrets=('test',)),
        **changes,
    )


def fake_link(
    node: str,
    zone: str = 'zone-a',
    load_received_at: float | None = None,
    **load: Any,
) -> AgentLink:
    """Return an unconnected link with a reported load."""
    link = AgentLink(
        Instance(node=node, role='agent', host='', port=0, zone=zone),
        AffinityIndex(1000),
    )
    report: dict[str, Any] = {
        'state': 'serving',
        'models': ('standard',),
        'slots': 64,
        'prefill_tokens_per_s': 10_000,
        'memory_total_tokens': 1_000_000,
        **load,
    }
    link.reported_load = Load(**report)
    link.load_received_at = (
        time.monotonic() if load_received_at is None else load_received_at
    )
    return link


def fake_job(tokens: int = 1000, **changes: Any) -> Job:
    """Return a paid job without a prefix."""
    fields: dict[str, Any] = {
        'model': 'standard',
        'prompt_tokens': tokens,
        'max_tokens': 10,
        'paid': True,
        'prefix_hashes': (),
        'timeout_ms': 30_000,
        **changes,
    }
    return Job(**fields)


class FakeClock:
    """A clock that a test advances by setting `now`."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now

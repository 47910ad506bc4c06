"""A relay whose agents are replaced by scripts."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

from masticwind.budget import Budget
from masticwind.config.current import CurrentConfig
from masticwind.config.model import Generation
from masticwind.engines.base import Done, Tokens
from masticwind.entry.affinity import AffinityIndex
from masticwind.entry.agent_pool import AgentLink, AgentPool
from masticwind.entry.attempts import ModelRequest
from masticwind.entry.crash_gossip import CrashGossip, NamedEntries
from masticwind.entry.predict import Job
from masticwind.entry.relay import Relay
from masticwind.entry.router import RoutingView
from masticwind.errors import Failure
from masticwind.protocol.channel import Channel
from masticwind.protocol.messages import (
    Message,
    Offer,
    Reserve,
    Reserved,
    Revoke,
    Revoked,
)
from masticwind.serving.crash_evidence import CrashEvidence
from masticwind.serving.fingerprints import fingerprint
from masticwind.serving.quarantine import Quarantine
from tests.routing_fakes import entry_settings, fake_job, fake_link
from tests.scenarios import sample_config

Script = Callable[[Offer], list[Any]]


@dataclass
class ScriptedChannel:
    """A connection whose agent answers offers by a script."""

    link: AgentLink
    script: Script
    closed: bool = False
    share_refusal_kind: str = ''
    sent: list[Message] = field(default_factory=list)

    def send(self, message: Message) -> bool:
        """Record a message and put the answers into its inbox."""
        self.sent.append(message)
        if isinstance(message, Reserve):
            key = (message.request_id, message.attempt)
            refusal_kind = self.share_refusal_kind
            self._answer(key, Reserved(*key, message.share, refusal_kind))
        if isinstance(message, Offer):
            for answer in self.script(message):
                self._answer((message.request_id, message.attempt), answer)
        if isinstance(message, Revoke):
            key = (message.request_id, message.attempt)
            self._answer(key, Revoked(*key, started=False))
        return True

    async def send_bulk(self, message: Message) -> bool:
        """Record a chunk of a body."""
        self.sent.append(message)
        return True

    def _answer(self, key: tuple[str, int], answer: Any) -> None:
        self.link._inboxes[key].put(answer)

    def count(self, kind: type[Message]) -> int:
        """Return how many messages of a kind were sent."""
        return sum(isinstance(message, kind) for message in self.sent)


@dataclass
class FakePool:
    """A fixed list of links."""

    links: list[AgentLink]
    live_entry_count: int = 1


class ScriptedRelay:
    """A relay with one agent for each script."""

    def __init__(
        self,
        *scripts: Script,
        length_policy: str = 'size_preference',
        **sections: Any,
    ) -> None:
        self.channels: list[ScriptedChannel] = []
        for number, script in enumerate(scripts):
            link = fake_link(f'e{number}')
            channel = ScriptedChannel(link, script)
            link._channel = cast(Channel, channel)
            self.channels.append(channel)
        cfg = entry_settings(retry_share=0, length_policy=length_policy)
        self.config = CurrentConfig()
        self.config.adopt(
            Generation(number=1, config=sample_config(**sections))
        )
        self.pool = FakePool([channel.link for channel in self.channels])
        self.quarantine = Quarantine(
            CrashGossip(CrashEvidence()), NamedEntries('e', frozenset)
        )
        self.relay = Relay(
            cfg,
            cast(AgentPool, self.pool),
            self.config,
            RoutingView(cfg, AffinityIndex(100)),
            self.quarantine,
        )
        self.output: list[str] = []

    async def run(
        self,
        timeout_ms: int = 30_000,
        job: Job | None = None,
        prompt: bytes = b'x',
        request_id: str = 'r',
        parts: tuple[str, ...] = (),
    ) -> Done | Failure:
        """Run one request."""
        return await self.relay.run(
            ModelRequest(
                request_id=request_id,
                team='conservators',
                weight=1,
                job=job or fake_job(),
                prompt=prompt,
                budget=Budget.from_ms(timeout_ms),
                fingerprint=fingerprint(parts),
            ),
            self._emit,
        )

    def set_zone(self, channel: ScriptedChannel, zone: str) -> None:
        """Replace an agent's link by one in another availability zone."""
        link = fake_link(channel.link.instance.node, zone)
        link._channel = channel.link._channel
        channel.link = link
        self.pool.links = [channel.link for channel in self.channels]

    def offer_counts(self) -> list[int]:
        """Return how many offers each agent got."""
        return [channel.count(Offer) for channel in self.channels]

    async def _emit(self, tokens: Tokens) -> None:
        self.output.extend(tokens.tokens)

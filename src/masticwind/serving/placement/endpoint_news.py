"""Entries tell each other of endpoints that they have found to be gone.

Without that, each entry finds out by failed requests of its own. A message
says what happened to one process of an endpoint, so it does not affect another
process under the same identity. A message about a process that is not
registered here has no effect.

A refused connection also makes the endpoint suspected (`Suspicions`), as any
failed connection does. It is sent as one message only: while news are on, the
message of this module takes the place of the report that `Suspicions` sends.
"""

from types import MappingProxyType
from typing import Annotated, Final

import msgspec
from loguru import logger

from masticwind.serving.datagrams import PeerAddress, PeerSocket, Receiver
from masticwind.serving.model import Endpoint
from masticwind.serving.peers import EntryPeers
from masticwind.serving.placement.load_table import Job, JobObserver
from masticwind.serving.placement.reported_endpoints import (
    NewsKind,
    ReportedEndpoints,
)
from masticwind.serving.placement.suspicions import Suspicion, Suspicions
from masticwind.serving.settings import LiveSettings
from masticwind.serving.telemetry import Telemetry

ENDPOINT_NEWS: Final = 'endpoint_news'
# The same message about one endpoint is sent at most once in this time.
MIN_INTERVAL_S: Final = 0.25
MAX_NAME_CHARS: Final = 200
MAX_KIND_CHARS: Final = 32
# The largest integer of msgpack.
MAX_STARTED_AT_MS: Final = 9_223_372_036_854_775_807

_KINDS: Final = MappingProxyType({kind.value: kind for kind in NewsKind})

_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]


class EndpointReport(msgspec.Struct, array_like=True):
    """What an entry of a zone has found out about a process of an endpoint.

    `what` is a `NewsKind`, or one of a later release.
    """

    zone: _Name
    endpoint: _Name
    started_at_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_STARTED_AT_MS)]
    what: Annotated[str, msgspec.Meta(max_length=MAX_KIND_CHARS)]


class EndpointNews(Receiver[EndpointReport]):
    """Sends this entry's reports to the other entries and receives theirs.

    If the settings turn news off, nothing is sent, received or recorded.
    """

    def __init__(
        self,
        peer_socket: PeerSocket,
        peers: EntryPeers,
        settings: LiveSettings,
        *,
        reported: ReportedEndpoints,
        suspicions: Suspicions,
        telemetry: Telemetry,
    ) -> None:
        self.enabled: Final = settings.cfg.endpoint_news
        self._socket: Final = peer_socket
        self._peers: Final = peers
        self._zone: Final = settings.zone
        self.reported: Final = reported
        self.suspicions: Final = suspicions
        self._telemetry: Final = telemetry
        self._sent_at: Final[dict[tuple[str, int, NewsKind], float]] = {}
        if self.enabled:
            peer_socket.register(ENDPOINT_NEWS, EndpointReport, self)

    def report(self, endpoint: Endpoint, kind: NewsKind) -> bool:
        """Report what this entry has found out; false if news are off."""
        if not self.enabled:
            return False
        self._record(endpoint, kind, self._zone)
        now = self.reported.clock()
        for sent, sent_at in list(self._sent_at.items()):
            if now - sent_at >= MIN_INTERVAL_S:
                self._sent_at.pop(sent)
        key = (endpoint.identity, endpoint.started_at_ms, kind)
        if key not in self._sent_at:
            self._sent_at[key] = now
            message = EndpointReport(
                self._zone, endpoint.identity, endpoint.started_at_ms, kind
            )
            self._socket.send(ENDPOINT_NEWS, message, self._peers.others())
        return True

    def receive(self, message: EndpointReport, sender: PeerAddress) -> None:
        """Record another entry's report."""
        kind = _KINDS.get(message.what)
        if kind is None:
            return
        endpoint = self.reported.directory.find_process(
            message.endpoint, message.started_at_ms
        )
        if endpoint is None:
            return
        if kind is NewsKind.REFUSED:
            suspicion = Suspicion(message.zone, message.endpoint)
            self.suspicions.receive(suspicion, sender)
        self._record(endpoint, kind, message.zone)

    def record_liveness(self, identity: str) -> None:
        """Record an answer or an event of an endpoint, here or elsewhere."""
        if self.enabled:
            self.reported.record_liveness(identity)

    def record_success(self, endpoint: Endpoint) -> None:
        """Record that an endpoint has served a request of this entry."""
        if self.enabled:
            self.reported.record_success(endpoint)

    def _record(self, endpoint: Endpoint, kind: NewsKind, zone: str) -> None:
        if self.reported.record_report(endpoint, kind):
            self._telemetry.endpoint_news.labels(kind.value).inc()
            logger.bind(
                endpoint=endpoint.identity,
                what=kind.value,
                reported_from=zone,
                zone=endpoint.zone,
                doubtful=self.reported.doubtful_count(),
            ).info('endpoint_reported')


class LivenessObserver(JobObserver):
    """Takes the first tokens of other entries' jobs for signs of life."""

    def __init__(self, news: EndpointNews) -> None:
        self._news: Final = news

    def begin(self, entry: str, job: Job) -> None:
        """Ignore a job that has been sent but not answered."""

    def record_first_token(self, entry: str, job: Job, now: float) -> None:
        """Record that the endpoint of a job has answered.

        This entry records its own answers when they arrive.
        """
        if entry:
            self._news.record_liveness(job.endpoint_id)

    def end(
        self, entry: str, job: Job, now: float, output_tokens: int | None
    ) -> None:
        """Ignore the end, which may be a failure."""

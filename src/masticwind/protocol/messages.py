"""All messages of the inner protocol.

A message is encoded as a CBOR array that begins with its tag. New fields are
only appended and have defaults, so that two successive releases can
communicate during a rolling upgrade. Times are in milliseconds, sizes in
bytes, amounts of work in tokens.
"""

from typing import Annotated, Final, Literal

import msgspec

PROTOCOL_VERSION: Final = 1
MAX_USAGE_TEAMS: Final = 64
# Reports of crashes in one message, and the size of each.
MAX_USAGE_CRASHES: Final = 4
MAX_CRASH_BYTES: Final = 32_768
BODY_CHUNK_BYTES: Final = 262_144
MAX_INLINE_BODY_BYTES: Final = 65_536
MAX_OUTPUT_TOKENS_PER_MESSAGE: Final = 4096

Id = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
Text = Annotated[str, msgspec.Meta(max_length=4096)]
NonNegative = Annotated[int, msgspec.Meta(ge=0)]


LoadState = Literal['serving', 'cold', 'draining', 'out', 'down']


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages."""


class Hello(Message, frozen=True, tag='hello'):
    """The first message of each side of a connection."""

    version: int
    role: Literal['entry', 'agent', 'ctl']
    node: Id
    zone: Id
    incarnation: Id
    nonce: Annotated[bytes, msgspec.Meta(min_length=16, max_length=64)]
    generation: NonNegative = 0
    endpoint: Annotated[str, msgspec.Meta(max_length=256)] = ''


class Proof(Message, frozen=True, tag='proof'):
    """HMAC over both `Hello` messages that proves a shared secret."""

    digest: Annotated[bytes, msgspec.Meta(min_length=32, max_length=32)]


class Load(Message, frozen=True, tag='load'):
    """An agent's load report for its endpoint.

    `slots` is the number of further requests that the endpoint can accept
    now; during a cold start it is the rest of the cold capacity.
    `paid_work_tokens` excludes long prompts, because short ones run between
    their steps; `paid_long_tokens` has the remaining tokens of each of them.
    """

    state: LoadState
    kind: Literal['engine', 'service'] = 'engine'
    service: str = ''
    models: tuple[str, ...] = ()
    slots: NonNegative = 0
    running: NonNegative = 0
    queued: NonNegative = 0
    paid_work_tokens: NonNegative = 0
    free_work_tokens: NonNegative = 0
    prefill_tokens_per_s: float = 0
    memory_free_tokens: NonNegative = 0
    memory_total_tokens: NonNegative = 0
    long_running: NonNegative = 0
    paid_long_tokens: tuple[NonNegative, ...] = ()


class Heartbeat(Message, frozen=True, tag='beat'):
    """Sent by both sides at a fixed interval.

    Without `load`, the agent's last report on the connection stays valid.
    """

    sequence: NonNegative
    generation: NonNegative
    load: Load | None = None
    # The last sequence received from the peer; -1 if there is none.
    echo: int = -1


class CacheBlocks(Message, frozen=True, tag='blocks'):
    """Prefix blocks that were added to or evicted from the endpoint's cache."""

    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()
    reset: bool = False


class Offer(Message, frozen=True, tag='offer'):
    """Ask an agent to run a model request.

    The request body is the prompt in UTF-8. A small one is sent in `body`, a
    larger one in `Body` messages after `Accepted`.
    """

    request_id: Id
    attempt: NonNegative
    team: Id
    paid: bool
    model: Id
    prompt_tokens: NonNegative
    max_tokens: NonNegative
    timeout_ms: NonNegative
    generation: NonNegative
    body_bytes: NonNegative
    body: bytes = b''
    prefix: tuple[int, ...] = ()
    weight: float = 1.0
    trace: str = ''
    resume_offset: NonNegative = 0
    # Handles of the preceding shares, separated by spaces; "-" for none.
    share_of: str = ''


class Body(Message, frozen=True, tag='body'):
    """A chunk of the body of an accepted offer."""

    request_id: Id
    attempt: NonNegative
    chunk: bytes
    last: bool
    # Bytes of the body before this chunk; -1 from releases without the field.
    offset: int = -1


class Accepted(Message, frozen=True, tag='accepted'):
    """The agent has accepted the request.

    It is also the response to a `Resume` while the body is incomplete;
    `body_received` is then the offset from which the entry resends the body.
    """

    request_id: Id
    attempt: NonNegative
    predicted_ms: NonNegative = 0
    body_received: NonNegative = 0


class Refused(Message, frozen=True, tag='refused'):
    """The agent has not run the request and will not run it."""

    request_id: Id
    attempt: NonNegative
    kind: str
    reason: Text
    retry_after_ms: NonNegative = 0


class Output(Message, frozen=True, tag='output'):
    """Generated tokens; `offset` is the number of tokens before them.

    With `silent` there are none: the engine has written nothing for a while.
    """

    request_id: Id
    attempt: NonNegative
    offset: NonNegative
    tokens: tuple[str, ...]
    silent: bool = False


class End(Message, frozen=True, tag='end'):
    """The request has ended after `count` tokens; empty `kind` is success.

    If the engine's process has ended under the request, `crashed_engine` is
    the boot id that it had, and `answer_begun` tells whether it had begun to
    answer.
    """

    request_id: Id
    attempt: NonNegative
    count: NonNegative
    kind: str = ''
    reason: Text = ''
    cached_tokens: NonNegative = 0
    crashed_engine: Text = ''
    answer_begun: bool = False


class Revoke(Message, frozen=True, tag='revoke'):
    """Withdraw a request that should no longer run."""

    request_id: Id
    attempt: NonNegative


class Revoked(Message, frozen=True, tag='revoked'):
    """Response to `Revoke`; `started` means the request may have run."""

    request_id: Id
    attempt: NonNegative
    started: bool


class Cancel(Message, frozen=True, tag='cancel'):
    """Stop a request whose caller has disconnected and free its resources."""

    request_id: Id
    attempt: NonNegative


class Resume(Message, frozen=True, tag='resume'):
    """Continue a request on this connection after `offset` tokens.

    `timeout_ms` is the remaining time budget, for an agent that has restarted
    and does not know the request; zero means unspecified.
    """

    request_id: Id
    attempt: NonNegative
    offset: NonNegative
    timeout_ms: NonNegative = 0


class Call(Message, frozen=True, tag='call'):
    """Ask an agent to make one call to its plain service.

    `claim` is the writer token of a non-repeatable call's claim and empty for
    a repeatable call. `fencing` orders the claims of one key.
    """

    request_id: Id
    attempt: NonNegative
    team: Id
    paid: bool
    method: Id
    path: Text
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_ms: NonNegative
    generation: NonNegative
    claim: str = ''
    fencing: NonNegative = 0
    trace: str = ''


class CallResult(Message, frozen=True, tag='result'):
    """Result of a `Call`; empty `kind` means that the service responded."""

    request_id: Id
    attempt: NonNegative
    status: NonNegative = 0
    content_type: str = ''
    body: bytes = b''
    kind: str = ''
    reason: Text = ''


class Reserve(Message, frozen=True, tag='reserve'):
    """Reserve memory for one share of a group request under a lease."""

    request_id: Id
    attempt: NonNegative
    share: NonNegative
    tokens: NonNegative
    lease_ms: NonNegative
    generation: NonNegative
    paid: bool = True


class Reserved(Message, frozen=True, tag='reserved'):
    """Response to `Reserve`; empty `kind` means that it was granted."""

    request_id: Id
    attempt: NonNegative
    share: NonNegative
    kind: str = ''
    reason: Text = ''


class Release(Message, frozen=True, tag='release'):
    """Release the memory reserved for one share."""

    request_id: Id
    attempt: NonNegative
    share: NonNegative


class EndpointOrder(Message, frozen=True, tag='order'):
    """A planner's order to an endpoint, with the planner's fencing token."""

    action: Literal['load_model', 'unload_model']
    model: Id
    version: Text
    fencing: NonNegative


class ConfigRequest(Message, frozen=True, tag='cfgreq'):
    """Request the head, or the configuration parts with these digests."""

    digests: tuple[str, ...] = ()


class ConfigData(Message, frozen=True, tag='cfgdata'):
    """The head of a generation, or some of its parts by digest."""

    generation: NonNegative = 0
    head: bytes = b''
    parts: dict[str, bytes] = {}


class Usage(Message, frozen=True, tag='usage'):
    """Demand of an entry's busiest rate-limited teams, in requests a second.

    A team that is not listed has no demand at that entry. `crashes` are
    encoded reports of prompts under which engines crashed.
    """

    rates: Annotated[
        dict[Id, float],
        msgspec.Meta(max_length=MAX_USAGE_TEAMS),
    ] = {}
    crashes: Annotated[
        tuple[Annotated[bytes, msgspec.Meta(max_length=MAX_CRASH_BYTES)], ...],
        msgspec.Meta(max_length=MAX_USAGE_CRASHES),
    ] = ()


AnyMessage = (
    Hello
    | Proof
    | Load
    | Heartbeat
    | CacheBlocks
    | Offer
    | Body
    | Accepted
    | Refused
    | Output
    | End
    | Revoke
    | Revoked
    | Cancel
    | Resume
    | Call
    | CallResult
    | Reserve
    | Reserved
    | Release
    | ConfigRequest
    | EndpointOrder
    | ConfigData
    | Usage
)

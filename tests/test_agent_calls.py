"""Checks that an agent makes on calls, without an entry."""

from dataclasses import replace
from typing import Any

import anyio
import pytest

from masticwind.agent import calls
from masticwind.config.current import CurrentConfig
from masticwind.config.model import CallRule, Generation, PlainService
from masticwind.engines.base import Service, ServiceRequest, ServiceResponse
from masticwind.errors import ErrorKind, Failure, guarantees_not_run
from masticwind.protocol.messages import Call, CallResult, Resume, Revoke
from masticwind.settings import AgentSettings, PeerSettings
from masticwind.telemetry import make_telemetry
from tests.scenarios import sample_config

pytestmark = pytest.mark.anyio


class RecordingService(Service):
    """Records requests and responds once `may_respond` is set."""

    def __init__(self) -> None:
        self.requests: list[ServiceRequest] = []
        self.may_respond = anyio.Event()
        self.may_respond.set()
        self.response: ServiceResponse | Failure = ServiceResponse(
            200, '', b'done'
        )

    async def call(self, req: ServiceRequest) -> ServiceResponse | Failure:
        self.requests.append(req)
        await self.may_respond.wait()
        return self.response

    async def healthy(self) -> bool:
        return True


class RecordingChannel:
    """A stand-in for a channel that records the messages sent."""

    def __init__(self) -> None:
        self.number = 0
        self.messages: list[Any] = []

    def send(self, message: Any) -> bool:
        self.messages.append(message)
        return True


def make_executor(service: Service) -> calls.CallExecutor:
    """Return an executor for a service with one non-repeatable call."""
    cfg = AgentSettings(
        node='agent-1',
        zone='zone-a',
        endpoint='o-1',
        endpoint_url='none',
        kind='service',
        service='orders',
        peers=PeerSettings(secrets=('s',)),
    )
    config = CurrentConfig()
    rule = CallRule(method='POST', path='/orders', repeatable=False)
    services = {'orders': PlainService(calls=(rule,))}
    config.adopt(Generation(number=1, config=sample_config(services=services)))
    return calls.CallExecutor(cfg, config, service, make_telemetry(cfg, config))


def make_claimed_call(**changes: Any) -> Call:
    """Return a claimed call."""
    fields: dict[str, Any] = {
        'request_id': 'r1',
        'attempt': 0,
        'team': 'conservators',
        'paid': True,
        'method': 'POST',
        'path': '/orders',
        'headers': (),
        'body': b'',
        'timeout_ms': 5000,
        'generation': 1,
        'claim': 'token-1',
        'fencing': 7,
    }
    return Call(**{**fields, **changes})


async def execute_call(
    executor: calls.CallExecutor, message: Call
) -> CallResult:
    """Execute a call and return its result."""
    sent: Any = RecordingChannel()
    await executor.execute(sent, message)
    response = sent.messages[-1]
    assert isinstance(response, CallResult)
    return response


async def test_duplicate_call_gets_the_first_result() -> None:
    """Guards against a duplicate message that executes a call twice."""
    service = RecordingService()
    executor = make_executor(service)
    first = await execute_call(executor, make_claimed_call())
    again = await execute_call(executor, make_claimed_call())
    assert first == again
    assert len(service.requests) == 1


@pytest.mark.parametrize('fencing', [6, 7])
async def test_outdated_fencing_token_is_refused(fencing: int) -> None:
    """Guards against executing a call whose claim was taken over.

    The delayed message has an equal or lower fencing token.
    """
    service = RecordingService()
    executor = make_executor(service)
    await execute_call(executor, make_claimed_call())
    late = await execute_call(
        executor, make_claimed_call(attempt=1, claim='x', fencing=fencing)
    )
    assert late.kind == ErrorKind.DUPLICATE
    assert len(service.requests) == 1


@pytest.mark.parametrize(
    ('changes', 'kind'),
    [
        ({'claim': '', 'fencing': 0}, ErrorKind.CONFLICT),
        ({'claim': '', 'path': '/%6frders?x=1'}, ErrorKind.CONFLICT),
        ({'timeout_ms': 0}, ErrorKind.OVERLOADED),
    ],
)
async def test_refused_call_is_not_executed(
    changes: dict[str, Any],
    kind: ErrorKind,
) -> None:
    """Guards against executing a call without a claim or after its timeout."""
    service = RecordingService()
    refused = await execute_call(
        make_executor(service), make_claimed_call(**changes)
    )
    assert refused.kind == kind
    assert guarantees_not_run(kind)
    assert not service.requests


async def test_revoked_call_is_refused_when_it_arrives() -> None:
    """Guards against executing a call that was reported as not started."""
    service = RecordingService()
    executor = make_executor(service)
    sent: Any = RecordingChannel()
    executor.revoke(sent, Revoke('r1', 0))
    assert sent.messages[-1].started is False
    refused = await execute_call(executor, make_claimed_call())
    assert refused.kind == ErrorKind.REVOKED
    assert not service.requests


async def test_resume_of_unknown_call_blocks_its_execution() -> None:
    """Guards against executing a call reported as of unknown outcome.

    The call message can arrive late on the connection that was lost.
    """
    service = RecordingService()
    executor = make_executor(service)
    sent: Any = RecordingChannel()
    executor.resume(sent, Resume('r1', 0, 0))
    assert sent.messages[-1].kind == ErrorKind.OUTCOME_UNKNOWN
    await execute_call(executor, make_claimed_call())
    assert not service.requests


async def test_resume_gets_result_of_running_and_ended_call() -> None:
    """Guards against losing a result when its connection is replaced."""
    service = RecordingService()
    service.may_respond = anyio.Event()
    executor = make_executor(service)
    lost: Any = RecordingChannel()
    new: Any = RecordingChannel()
    newest: Any = RecordingChannel()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(executor.execute, lost, make_claimed_call())
        while not service.requests:
            await anyio.lowlevel.checkpoint()
        executor.resume(new, Resume('r1', 0, 0))
        service.may_respond.set()
    executor.resume(newest, Resume('r1', 0, 0))
    assert not lost.messages
    assert new.messages == newest.messages
    assert new.messages[0].body == b'done'


async def test_oversized_response_fails_after_start() -> None:
    """Guards against a response that exceeds the frame size limit."""
    service = RecordingService()
    oversized = ServiceResponse(200, '', b'x' * (calls.MAX_RESPONSE_BYTES + 1))
    service.response = replace(oversized)
    failed = await execute_call(make_executor(service), make_claimed_call())
    assert failed.kind == ErrorKind.FAILED_AFTER_START


def test_full_token_table_refuses_new_calls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against evicting a recent fencing token when the table is full."""
    monkeypatch.setattr(calls, 'MAX_TRACKED_CALLS', 2)
    fencing_tokens = calls.FencingTokens()
    assert (
        fencing_tokens.check_and_record(make_claimed_call(request_id='a'))
        is None
    )
    assert (
        fencing_tokens.check_and_record(make_claimed_call(request_id='b'))
        is None
    )
    refused = fencing_tokens.check_and_record(make_claimed_call(request_id='c'))
    assert refused is not None
    assert refused.kind is ErrorKind.OVERLOADED
    assert (
        fencing_tokens.check_and_record(make_claimed_call(request_id='a'))
        is not None
    )

"""The agent's own checks on calls, without an entry."""

from dataclasses import replace
from typing import Any

import anyio
import pytest

from masticwind.agent import calls
from masticwind.config.current import CurrentConfig
from masticwind.config.model import CallRule, Generation, PlainService
from masticwind.engines.base import Service, ServiceRequest, ServiceResponse
from masticwind.errors import ErrorKind, Failure, not_run
from masticwind.protocol.messages import Call, CallResult, Resume, Revoke
from masticwind.settings import AgentSettings, PeerSettings
from masticwind.telemetry import make_telemetry
from tests.scenarios import sample_config

pytestmark = pytest.mark.anyio


class CountingService(Service):
    """Answers when `gate` is set, and counts what it was asked."""

    def __init__(self) -> None:
        self.requests: list[ServiceRequest] = []
        self.gate = anyio.Event()
        self.gate.set()
        self.answer: ServiceResponse | Failure = ServiceResponse(
            200, '', b'done'
        )

    async def call(self, req: ServiceRequest) -> ServiceResponse | Failure:
        self.requests.append(req)
        await self.gate.wait()
        return self.answer

    async def healthy(self) -> bool:
        return True


class Sent:
    """Stands for a channel and keeps what is sent."""

    def __init__(self) -> None:
        self.messages: list[Any] = []

    def send(self, message: Any) -> bool:
        self.messages.append(message)
        return True


def executor(service: Service) -> calls.CallExecutor:
    """Return an executor with one non-repeatable call configured."""
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


def order(**changes: Any) -> Call:
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


async def result(agent: calls.CallExecutor, message: Call) -> CallResult:
    """Give a call to an agent and return the result."""
    sent: Any = Sent()
    await agent.execute(sent, message)
    answer = sent.messages[-1]
    assert isinstance(answer, CallResult)
    return answer


async def test_copy_gets_the_result_and_does_not_run() -> None:
    """Guards against a second run by a repeated message."""
    service = CountingService()
    agent = executor(service)
    first = await result(agent, order())
    again = await result(agent, order())
    assert first == again
    assert len(service.requests) == 1


@pytest.mark.parametrize('fencing', [6, 7])
async def test_older_claim_is_refused(fencing: int) -> None:
    """Guards against a run under a claim that has been replaced."""
    service = CountingService()
    agent = executor(service)
    await result(agent, order())
    late = await result(agent, order(attempt=1, claim='x', fencing=fencing))
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
async def test_refused_without_running(
    changes: dict[str, Any],
    kind: ErrorKind,
) -> None:
    """Guards against running unclaimed orders and orders out of time."""
    service = CountingService()
    refused = await result(executor(service), order(**changes))
    assert refused.kind == kind
    assert not_run(kind)
    assert not service.requests


async def test_revoked_call_is_refused_when_it_arrives() -> None:
    """Guards against running a call after its entry was told it will not."""
    service = CountingService()
    agent = executor(service)
    sent: Any = Sent()
    agent.revoke(sent, Revoke('r1', 0))
    assert sent.messages[-1].started is False
    refused = await result(agent, order())
    assert refused.kind == ErrorKind.REVOKED
    assert not service.requests


async def test_resume_of_unknown_call_keeps_it_from_running() -> None:
    """Guards against a run after the entry gave the outcome as unknown."""
    service = CountingService()
    agent = executor(service)
    sent: Any = Sent()
    agent.resume(sent, Resume('r1', 0, 0))
    assert sent.messages[-1].kind == ErrorKind.OUTCOME_UNKNOWN
    await result(agent, order())
    assert not service.requests


async def test_resume_gets_result_of_running_and_ended_call() -> None:
    """Guards against losing a result with the connection it was due on."""
    service = CountingService()
    service.gate = anyio.Event()
    agent = executor(service)
    lost: Any = Sent()
    new: Any = Sent()
    newest: Any = Sent()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(agent.execute, lost, order())
        while not service.requests:
            await anyio.lowlevel.checkpoint()
        agent.resume(new, Resume('r1', 0, 0))
        service.gate.set()
    agent.resume(newest, Resume('r1', 0, 0))
    assert not lost.messages
    assert new.messages == newest.messages
    assert new.messages[0].body == b'done'


async def test_answer_that_fits_no_frame_is_a_failure_after_start() -> None:
    """Guards against an answer that would break the connection."""
    service = CountingService()
    whole = ServiceResponse(200, '', b'x' * (calls.MAX_RESPONSE_BYTES + 1))
    service.answer = replace(whole)
    failed = await result(executor(service), order())
    assert failed.kind == ErrorKind.FAILED_AFTER_START


def test_full_memory_refuses_new_orders(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against forgetting an order early to make room."""
    monkeypatch.setattr(calls, 'MAX_TRACKED_CALLS', 2)
    seen = calls.FencingTokens()
    assert seen.admit(order(request_id='a')) is None
    assert seen.admit(order(request_id='b')) is None
    refused = seen.admit(order(request_id='c'))
    assert refused is not None
    assert refused.kind is ErrorKind.OVERLOADED
    assert seen.admit(order(request_id='a')) is not None

"""Validation and relaying of chat-completions requests."""

import secrets
from dataclasses import dataclass
from typing import Final

import anyio

from masticwind.budget import Budget
from masticwind.config.current import CurrentConfig
from masticwind.config.model import Model, Team, Tier
from masticwind.engines.base import Done
from masticwind.entry.attempts import ModelRequest
from masticwind.entry.chat_body import ChatRequest
from masticwind.entry.chat_writer import ChatWriter
from masticwind.entry.crash_gossip import prompt_fingerprint
from masticwind.entry.predict import Job
from masticwind.entry.relay import Relay
from masticwind.errors import ErrorKind, Failure
from masticwind.tokens import estimate_tokens
from masticwind.web import Receive, Scope, request_header

TIMEOUT_HEADER: Final = b'x-request-timeout-ms'
REQUEST_ID_BYTES: Final = 16
MAX_REPORTED_MODEL_CHARS: Final = 128
MAX_TIMEOUT_DIGITS: Final = 9


@dataclass(frozen=True, slots=True, kw_only=True)
class Caller:
    """An authenticated team, with its tier."""

    team_name: str
    team: Team
    tier: Tier


def read_timeout_ms(scope: Scope, tier: Tier) -> int | Failure:
    """Return the time budget of a request in milliseconds.

    Returns a `Failure` of kind `timeout_out_of_range` for a value that is
    not a number from 1 to the tier's maximum.
    """
    text = request_header(scope, TIMEOUT_HEADER)
    if not text:
        return tier.default_timeout_ms
    if text.isdecimal() and len(text) <= MAX_TIMEOUT_DIGITS:
        timeout_ms = int(text)
        if 1 <= timeout_ms <= tier.max_timeout_ms:
            return timeout_ms
    return Failure(
        kind=ErrorKind.TIMEOUT_OUT_OF_RANGE,
        reason=f'{TIMEOUT_HEADER.decode()} must be a number of milliseconds '
        f'from 1 to {tier.max_timeout_ms}',
    )


def build_request(
    chat: ChatRequest,
    caller: Caller,
    budget: Budget,
    config: CurrentConfig,
) -> ModelRequest | Failure:
    """Check a decoded body against its model and return a model request."""
    model = config.config.models.get(chat.model)
    if model is None:
        return Failure(
            kind=ErrorKind.UNKNOWN_MODEL,
            reason=f'no model {chat.model[:MAX_REPORTED_MODEL_CHARS]}',
        )
    prompt_tokens = estimate_tokens(len(chat.prompt), model.bytes_per_token)
    max_tokens = chat.max_tokens
    if max_tokens is None:
        max_tokens = model.default_output_tokens
    failure = _check_token_limits(model, prompt_tokens, max_tokens)
    if failure is not None:
        return failure
    return ModelRequest(
        request_id=secrets.token_hex(REQUEST_ID_BYTES),
        team=caller.team_name,
        weight=caller.team.weight,
        prompt=chat.prompt,
        budget=budget,
        fingerprint=prompt_fingerprint(chat.prompt, chat.prefix_hashes),
        job=Job(
            model=chat.model,
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            paid=caller.tier.kind == 'paid',
            prefix_hashes=chat.prefix_hashes,
            timeout_ms=budget.remaining_ms(),
        ),
    )


def _check_token_limits(
    model: Model,
    prompt_tokens: int,
    max_tokens: int,
) -> Failure | None:
    if prompt_tokens > model.max_prompt_tokens:
        return Failure(
            kind=ErrorKind.TOO_LARGE,
            reason=f'about {prompt_tokens} prompt tokens, '
            f'at most {model.max_prompt_tokens}',
        )
    if not 1 <= max_tokens <= model.max_output_tokens:
        return Failure(
            kind=ErrorKind.BAD_REQUEST,
            reason=f'max_tokens must be from 1 to {model.max_output_tokens}',
        )
    return None


async def relay_until_disconnect(
    relay: Relay,
    req: ModelRequest,
    writer: ChatWriter,
    receive: Receive,
) -> Done | Failure | None:
    """Relay the generated tokens; None if the caller disconnected."""
    outcome: Done | Failure | None = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
        outcome = await relay.run(req, writer.write_tokens)
        tasks.cancel_scope.cancel()
    return outcome


async def _cancel_on_disconnect(
    receive: Receive,
    cancel_scope: anyio.CancelScope,
) -> None:
    while True:
        event = await receive()
        if event['type'] == 'http.disconnect':
            cancel_scope.cancel()
            return

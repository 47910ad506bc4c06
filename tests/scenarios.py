"""Configurations and requests that several tests use."""

from typing import Any

import msgspec

from masticwind.config.current import token_digest
from masticwind.config.model import Configuration, Model, Team, Tier, Zone
from masticwind.errors import Failure
from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind_dev.standins.answers import expected_answer

PAID_TOKEN = 'paid-token'
FREE_TOKEN = 'free-token'
ZONES = ('zone-a', 'zone-b', 'zone-c')


def sample_config(**changes: Any) -> Configuration:
    """Return a configuration with three zones, two tiers and two teams."""
    sections: dict[str, Any] = {
        'zones': {name: Zone(region='north') for name in ZONES},
        'tiers': {'paid': Tier(kind='paid'), 'free': Tier(kind='free')},
        'teams': {
            'conservators': Team(
                tier='paid',
                token_digests=(token_digest(PAID_TOKEN),),
            ),
            'volunteers': Team(
                tier='free',
                token_digests=(token_digest(FREE_TOKEN),),
            ),
        },
        'models': {'standard': Model()},
    }
    sections.update(changes)
    return Configuration(**sections)


def chat_body(text: str, max_tokens: int = 8, **options: Any) -> bytes:
    """Return the body of a chat-completions request with one message."""
    return msgspec.json.encode(
        {
            'model': 'standard',
            'messages': [{'role': 'user', 'content': text}],
            'max_tokens': max_tokens,
            **options,
        }
    )


def expected_chat_answer(text: str, max_tokens: int = 8) -> str:
    """Return the complete answer of the engine stand-in to `chat_body`."""
    return expected_answer(f'user: {text}\n'.encode(), max_tokens)


async def send_chat(
    client: HttpClient,
    body: bytes,
    token: str = PAID_TOKEN,
    **headers: str,
) -> HttpAnswer | Failure:
    """Send a chat-completions request."""
    return await client.request(
        'POST',
        '/v1/chat/completions',
        timeout_s=60,
        body=body,
        headers=[
            (b'authorization', f'Bearer {token}'.encode()),
            *(
                (name.replace('_', '-').encode(), value.encode())
                for name, value in headers.items()
            ),
        ],
    )


def answer_text(answer: HttpAnswer | Failure) -> str:
    """Return the generated text of a complete answer."""
    assert isinstance(answer, HttpAnswer), answer
    assert answer.status == 200, answer.body
    text = msgspec.json.decode(answer.body)['choices'][0]['message']['content']
    assert isinstance(text, str)
    return text

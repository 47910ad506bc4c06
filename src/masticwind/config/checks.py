"""Checks that involve several values: references, ranges and uniqueness.

Each check yields the invalid key and what was expected there. All checks run,
so that an operator sees all problems at once.
"""

import math
from collections.abc import Collection, Iterator
from typing import Final

from masticwind.config.model import Configuration, Operator, Team

# Pairs of an invalid key and what was expected there.
Violations = Iterator[tuple[str, str]]

MAX_SHOWN_NAMES: Final = 8


def check_configuration(config: Configuration) -> list[tuple[str, str]]:
    """Return all problems as pairs of key and expected value."""
    return [
        *_check_teams(config),
        *_check_tiers(config),
        *_check_models(config),
        *_check_endpoints(config),
        *_check_services(config),
        *_check_operators(config),
        *_check_token_digests(config),
    ]


def _check_teams(config: Configuration) -> Violations:
    for name, team in config.teams.items():
        if team.tier not in config.tiers:
            yield f'teams.{name}.tier', _expect_defined('tier', config.tiers)
        if not math.isfinite(team.weight):
            yield f'teams.{name}.weight', 'expected a finite number'


def _check_tiers(config: Configuration) -> Violations:
    for name, tier in config.tiers.items():
        if tier.default_timeout_ms > tier.max_timeout_ms:
            yield (
                f'tiers.{name}.default_timeout_ms',
                f'expected at most max_timeout_ms ({tier.max_timeout_ms})',
            )


def _check_models(config: Configuration) -> Violations:
    for name, model in config.models.items():
        model_key = f'models.{name}'
        if model.default_output_tokens > model.max_output_tokens:
            yield (
                f'{model_key}.default_output_tokens',
                f'expected at most max_output_tokens '
                f'({model.max_output_tokens})',
            )
        if not math.isfinite(model.bytes_per_token):
            yield f'{model_key}.bytes_per_token', 'expected a finite number'
        for zone in model.replicas:
            if zone not in config.zones:
                yield (
                    f'{model_key}.replicas.{zone}',
                    _expect_defined('zone', config.zones),
                )
        if len(set(model.adapters)) < len(model.adapters):
            yield f'{model_key}.adapters', 'expected each adapter once'


def _check_endpoints(config: Configuration) -> Violations:
    for name, endpoint in config.endpoints.items():
        for position, model in enumerate(endpoint.models):
            if model not in config.models:
                yield (
                    f'endpoints.{name}.models[{position}]',
                    _expect_defined('model', config.models),
                )


def _check_services(config: Configuration) -> Violations:
    for name, service in config.services.items():
        if not service.calls:
            yield f'services.{name}.calls', 'expected at least one call'
        seen_calls: set[tuple[str, str]] = set()
        for position, rule in enumerate(service.calls):
            if (rule.method, rule.path) in seen_calls:
                yield (
                    f'services.{name}.calls[{position}]',
                    'expected each method and path once',
                )
            seen_calls.add((rule.method, rule.path))


def _check_operators(config: Configuration) -> Violations:
    for name, operator in config.operators.items():
        if not operator.token_digests:
            yield (
                f'operators.{name}.token_digests',
                'expected at least one digest',
            )


def _check_token_digests(config: Configuration) -> Violations:
    owner_by_digest: dict[str, str] = {}
    credentials: list[tuple[str, Team | Operator]] = [
        *((f'teams.{name}', item) for name, item in config.teams.items()),
        *(
            (f'operators.{name}', item)
            for name, item in config.operators.items()
        ),
    ]
    for owner, credential in credentials:
        for position, digest in enumerate(credential.token_digests):
            first_owner = owner_by_digest.setdefault(digest, owner)
            key = f'{owner}.token_digests[{position}]'
            if first_owner != owner:
                yield key, f'expected a digest that {first_owner} does not have'
            elif digest in credential.token_digests[:position]:
                yield key, 'expected each digest once'


def _expect_defined(item_kind: str, names: Collection[str]) -> str:
    if not names:
        return f'expected a defined {item_kind}; none is defined'
    shown_names = ', '.join(sorted(names)[:MAX_SHOWN_NAMES])
    ellipsis = ', ...' if len(names) > MAX_SHOWN_NAMES else ''
    return f'expected a defined {item_kind} ({shown_names}{ellipsis})'

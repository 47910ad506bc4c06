"""Checks of a configuration beyond single values: names and uniqueness.

Every check yields the key at fault and what was expected there. All checks
run, so that an operator sees all problems at once.
"""

import math
from collections.abc import Collection, Iterator
from typing import Final

from masticwind.config.model import Configuration, Operator, Team

Found = Iterator[tuple[str, str]]

MAX_NAMES_SHOWN: Final = 8


def check_configuration(config: Configuration) -> list[tuple[str, str]]:
    """Return all problems as pairs of key and expectation."""
    return [
        *_check_teams(config),
        *_check_tiers(config),
        *_check_models(config),
        *_check_endpoints(config),
        *_check_services(config),
        *_check_operators(config),
        *_check_digests(config),
    ]


def _check_teams(config: Configuration) -> Found:
    for name, team in config.teams.items():
        if team.tier not in config.tiers:
            yield f'teams.{name}.tier', _one_of('tier', config.tiers)
        if not math.isfinite(team.weight):
            yield f'teams.{name}.weight', 'expected a finite number'


def _check_tiers(config: Configuration) -> Found:
    for name, tier in config.tiers.items():
        if tier.default_timeout_ms > tier.max_timeout_ms:
            yield (
                f'tiers.{name}.default_timeout_ms',
                f'expected at most max_timeout_ms ({tier.max_timeout_ms})',
            )


def _check_models(config: Configuration) -> Found:
    for name, model in config.models.items():
        here = f'models.{name}'
        if model.default_output_tokens > model.max_output_tokens:
            yield (
                f'{here}.default_output_tokens',
                f'expected at most max_output_tokens '
                f'({model.max_output_tokens})',
            )
        if not math.isfinite(model.bytes_per_token):
            yield f'{here}.bytes_per_token', 'expected a finite number'
        for zone in model.replicas:
            if zone not in config.zones:
                yield (
                    f'{here}.replicas.{zone}',
                    _one_of('zone', config.zones),
                )
        if len(set(model.adapters)) < len(model.adapters):
            yield f'{here}.adapters', 'expected each adapter once'


def _check_endpoints(config: Configuration) -> Found:
    for name, endpoint in config.endpoints.items():
        for position, model in enumerate(endpoint.models):
            if model not in config.models:
                yield (
                    f'endpoints.{name}.models[{position}]',
                    _one_of('model', config.models),
                )


def _check_services(config: Configuration) -> Found:
    for name, service in config.services.items():
        if not service.calls:
            yield f'services.{name}.calls', 'expected at least one call'
        seen: set[tuple[str, str]] = set()
        for position, rule in enumerate(service.calls):
            if (rule.method, rule.path) in seen:
                yield (
                    f'services.{name}.calls[{position}]',
                    'expected each method and path once',
                )
            seen.add((rule.method, rule.path))


def _check_operators(config: Configuration) -> Found:
    for name, operator in config.operators.items():
        if not operator.token_digests:
            yield (
                f'operators.{name}.token_digests',
                'expected at least one digest',
            )


def _check_digests(config: Configuration) -> Found:
    owners: dict[str, str] = {}
    credentials: list[tuple[str, Team | Operator]] = [
        *((f'teams.{name}', one) for name, one in config.teams.items()),
        *((f'operators.{name}', one) for name, one in config.operators.items()),
    ]
    for owner, credential in credentials:
        for position, digest in enumerate(credential.token_digests):
            first = owners.setdefault(digest, owner)
            key = f'{owner}.token_digests[{position}]'
            if first != owner:
                yield key, f'expected a digest that {first} does not have'
            elif digest in credential.token_digests[:position]:
                yield key, 'expected each digest once'


def _one_of(what: str, names: Collection[str]) -> str:
    if not names:
        return f'expected a defined {what}; none is defined'
    shown = ', '.join(sorted(names)[:MAX_NAMES_SHOWN])
    more = ', ...' if len(names) > MAX_NAMES_SHOWN else ''
    return f'expected a defined {what} ({shown}{more})'

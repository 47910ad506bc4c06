"""Sample fleet and configuration."""

from typing import Final

from masticwind.config.current import token_digest
from masticwind.config.model import (
    CallRule,
    Configuration,
    Model,
    Operator,
    PlainService,
    Team,
    Tier,
    Zone,
)
from masticwind_dev.local.fleet import FleetPlan
from masticwind_dev.standins.engine import EngineModel

ZONES: Final = ('local-a', 'local-b', 'local-c')
PAID_TOKEN: Final = 'demo-paid'
FREE_TOKEN: Final = 'demo-free'
OPERATOR_TOKEN: Final = 'demo-operator'
ENGINE_COUNT: Final = 6


def sample_config() -> Configuration:
    """Return a configuration with a paid and a free team."""
    return Configuration(
        zones={zone: Zone(region='local') for zone in ZONES},
        tiers={'paid': Tier(kind='paid'), 'free': Tier(kind='free')},
        teams={
            'conservators': Team(
                tier='paid',
                token_digests=(token_digest(PAID_TOKEN),),
            ),
            'volunteers': Team(
                tier='free',
                token_digests=(token_digest(FREE_TOKEN),),
            ),
        },
        models={'standard': Model()},
        operators={
            'demo': Operator(
                token_digests=(token_digest(OPERATOR_TOKEN),),
                role='writer',
            ),
        },
        services={
            'orders': PlainService(
                calls=(
                    CallRule(method='GET', path='/*'),
                    CallRule(method='POST', path='/orders', repeatable=False),
                )
            )
        },
    )


def sample_plan(port: int) -> FleetPlan:
    """Return a fleet of six engines and a plain service in three zones."""
    return FleetPlan(
        config=sample_config(),
        engines={
            f'engine-{number}': (
                ZONES[number % len(ZONES)],
                EngineModel(seed=number, prefill_tokens_per_s=500_000),
            )
            for number in range(ENGINE_COUNT)
        },
        services={'orders': ZONES[0]},
        entry_zone=ZONES[0],
        entry_port=port,
    )

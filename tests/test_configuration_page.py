"""Checks the configuration page and the examples against the code."""

from pathlib import Path
from typing import Any, Literal, get_args, get_origin, get_type_hints

import msgspec
import pytest

from masticwind import settings, settings_file
from masticwind.config import model
from masticwind.config.reader import read_configuration
from masticwind.errors import Failure
from masticwind.serving import settings as serving_settings

ROOT = Path(__file__).parent.parent
PAGE = ROOT / 'docs' / 'CONFIGURATION.md'
FOLDERS = ('vitriinikosteus', 'kalkwater')
CLASSES = (
    *(model.Zone, model.Tier, model.Team, model.Model, model.Endpoint),
    *(model.PlainService, model.CallRule, model.Operator),
    *(settings.EntrySettings, settings.AgentSettings, settings.PeerSettings),
    *(settings.PlatformSettings, settings.MetricsSettings),
    *(settings.TraceSettings, settings.Address, settings.ClaimSettings),
    *(
        serving_settings.DirectSettings,
        serving_settings.StoreSettings,
        serving_settings.FleetBounds,
    ),
)


def _read_rows(kind: Any) -> dict[str, list[str]]:
    lines = PAGE.read_text().splitlines()
    name = kind.__name__
    headings = {f'### {name}'}
    start = next(
        number
        for number, line in enumerate(lines)
        if line in headings or line.endswith(f' ({name})')
    )
    rows: dict[str, list[str]] = {}
    for line in lines[start + 1 :]:
        if line.startswith('#'):
            break
        if line.startswith('| `'):
            cells = [cell.strip() for cell in line.strip('|').split(' | ')]
            rows[cells[0].strip(' `')] = cells
    return rows


@pytest.mark.parametrize('kind', CLASSES)
def test_page_lists_all_keys_with_defaults(kind: Any) -> None:
    """Guards against keys or defaults that changed only in the code."""
    rows = _read_rows(kind)
    fields = model.inspect_fields(kind)
    assert list(rows) == [field.name for field in fields]
    for field in fields:
        shown = rows[field.name][3].strip('| ')
        if field.default is not msgspec.NODEFAULT:
            assert shown == f'`{msgspec.json.encode(field.default).decode()}`'
        elif field.default_factory is msgspec.NODEFAULT:
            assert shown == 'required'
        if field.name.endswith('_ms'):
            assert rows[field.name][2] == 'ms'


@pytest.mark.parametrize('kind', CLASSES)
def test_page_states_ranges_and_choices(kind: Any) -> None:
    """Guards against ranges or choices that changed only in the code."""
    rows = _read_rows(kind)
    for key, hint in get_type_hints(kind, include_extras=True).items():
        for meta in getattr(hint, '__metadata__', ()):
            bounds = {
                'at least': meta.ge,
                'above': meta.gt,
                'at most': meta.le,
            }
            for word, bound in bounds.items():
                if bound is not None:
                    assert f'{word} {bound}' in rows[key][1]
        if get_origin(hint) is Literal:
            for choice in get_args(hint):
                assert f'`{choice}`' in rows[key][1]


@pytest.mark.parametrize('folder', FOLDERS)
def test_examples_are_valid(folder: str) -> None:
    """Guards against examples that the programs reject."""
    example = ROOT / 'examples' / folder
    config = read_configuration([example / 'fleet.yaml'])
    assert isinstance(config, model.Configuration), config
    assert len(config.zones) == 3
    assert {tier.kind for tier in config.tiers.values()} == {'paid', 'free'}
    calls = [
        rule for service in config.services.values() for rule in service.calls
    ]
    assert any(not rule.repeatable for rule in calls)
    entry = settings_file.read_settings(
        example / 'entry.yaml',
        settings.EntrySettings,
    )
    agent = settings_file.read_settings(
        example / 'agent.yaml',
        settings.AgentSettings,
    )
    assert not isinstance(entry, Failure), entry
    assert not isinstance(agent, Failure), agent
    assert {entry.zone, agent.zone} <= set(config.zones)

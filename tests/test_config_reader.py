"""Reading of operators' files: accepted content and reported problems."""

from pathlib import Path
from types import MappingProxyType
from typing import Any

import msgspec
import pytest
import yaml
from hypothesis import given, settings
from hypothesis import strategies as st

from masticwind.config.model import Configuration
from masticwind.config.problems import Problem
from masticwind.config.reader import (
    check_decoded,
    parse_yaml,
    read_configuration,
)

DIGEST = f'sha256:{"0a" * 32}'
SECRET = 'sk-clear-text-4711'
CALL_RULE = MappingProxyType({'method': 'GET', 'path': '/'})
INVALID_ESCAPE = r'\q'
FUZZ = settings(derandomize=True, deadline=None, max_examples=300)


def _make_raw(**changes: Any) -> dict[str, Any]:
    raw: dict[str, Any] = {
        'zones': {'z1': {'region': 'north'}},
        'tiers': {'paid': {'kind': 'paid'}},
        'teams': {'crews': {'tier': 'paid', 'token_digests': [DIGEST]}},
        'models': {'standard': {}},
    }
    raw.update(changes)
    return raw


def _lines(found: Configuration | tuple[Problem, ...]) -> list[str]:
    assert isinstance(found, tuple), 'expected problems'
    return [problem.line for problem in found]


def test_sections_of_several_files_are_merged(tmp_path: Path) -> None:
    """Guards against a folder of which only one file is read."""
    raw = _make_raw()
    teams = {'teams': raw.pop('teams')}
    (tmp_path / 'fleet.yaml').write_text(yaml.safe_dump(raw))
    (tmp_path / 'teams.yml').write_text(yaml.safe_dump(teams))
    (tmp_path / 'notes.txt').write_text('not: read')
    config = read_configuration([tmp_path])
    assert isinstance(config, Configuration)
    assert list(config.teams) == ['crews']
    assert list(config.zones) == ['z1']


def test_name_in_two_files_is_rejected(tmp_path: Path) -> None:
    """Guards against a file that silently replaces an item of another."""
    first = tmp_path / 'a.yaml'
    second = tmp_path / 'b.yaml'
    first.write_text(yaml.safe_dump(_make_raw()))
    second.write_text(yaml.safe_dump({'models': {'standard': {}}}))
    assert _lines(read_configuration([first, second])) == [
        f'{second}: models.standard: expected one definition; also in {first}',
    ]


def test_duplicate_name_in_one_file_is_rejected() -> None:
    """Guards against the YAML loader, which keeps the last of equal keys."""
    problems: list[Problem] = []
    text = b'models:\n  a: {}\n  b: {}\n  a: {version: "2"}\n'
    assert parse_yaml('f.yaml', text, problems) is None
    assert [problem.line for problem in problems] == [
        'f.yaml: expected models.a to be defined once at line 4',
    ]


@pytest.mark.parametrize(
    ('changes', 'line'),
    [
        ({'team': {}}, 'f: team: expected a section ('),
        ({'zones': {'z1': {'region': 'n', 'up': 1}}}, 'f: zones.z1.up: '),
        ({'zones': {'z1': {}}}, 'f: zones.z1.region: expected a value'),
        ({'zones': {'z1': None}}, 'f: zones.z1: expected a mapping'),
        ({'zones': ['z1']}, 'f: zones: expected a mapping of names'),
        ({'zones': {7: {'region': 'n'}}}, 'f: zones.7: expected a name'),
        ({'tiers': {'paid': {'kind': 'gold'}}}, 'f: tiers.paid.kind: '),
        (
            {'teams': {'crews': {'tier': 'paid', 'weight': 0}}},
            'f: teams.crews.weight: ',
        ),
        (
            {'teams': {'crews': {'tier': 'paid', 'weight': float('nan')}}},
            'f: teams.crews.weight: ',
        ),
        (
            {'teams': {'crews': {'tier': 'paid', 'max_in_flight': 'many'}}},
            'f: teams.crews.max_in_flight: expected int',
        ),
        (
            {'teams': {'crews': {'tier': 'gold'}}},
            'f: teams.crews.tier: expected a defined tier (paid)',
        ),
        (
            {'teams': {'a.b': {'tier': 'gold'}}},
            'f: teams.a.b.tier: expected a defined tier (paid)',
        ),
        (
            {'models': {'standard': {'replicas': {'z9': 1}}}},
            'f: models.standard.replicas.z9: expected a defined zone (z1)',
        ),
        (
            {'models': {'standard': {'default_output_tokens': 99_999}}},
            'f: models.standard.default_output_tokens: expected at most',
        ),
        (
            {'endpoints': {'e': {'models': ['other']}}},
            'f: endpoints.e.models[0]: expected a defined model (standard)',
        ),
        (
            {'services': {'orders': {'calls': []}}},
            'f: services.orders.calls: expected at least one call',
        ),
        (
            {'services': {'o': {'calls': [{'method': 'GET', 'pat': '/'}]}}},
            'f: services.o.calls[0].pat: expected a known key',
        ),
        (
            {
                'services': {
                    'o': {'calls': [dict(CALL_RULE), dict(CALL_RULE)]}
                },
            },
            'f: services.o.calls[1]: expected each method and path once',
        ),
        (
            {'operators': {'ann': {'token_digests': [DIGEST]}}},
            'f: operators.ann.token_digests[0]: expected a digest that '
            'teams.crews does not have',
        ),
        (
            {'operators': {'ann': {'token_digests': []}}},
            'f: operators.ann.token_digests: expected at least one digest',
        ),
        (
            {
                'tiers': {
                    'paid': {'kind': 'paid', 'max_timeout_ms': 10},
                }
            },
            'f: tiers.paid.default_timeout_ms: expected at most',
        ),
    ],
)
def test_each_problem_is_reported_with_its_key(
    changes: dict[str, Any], line: str
) -> None:
    """Guards against problems that are accepted or reported without key."""
    lines = _lines(check_decoded(_make_raw(**changes), 'f'))
    assert any(reported.startswith(line) for reported in lines), lines
    assert all('\n' not in reported for reported in lines)


def test_all_problems_are_reported() -> None:
    """Guards against reporting only the first of several problems."""
    raw = _make_raw(
        zones={'z1': {'region': 'n', 'x': 1}, 'z2': {'in_service': 'yes'}},
        models={'standard': {'bytes_per_token': 0, 'version': 2}},
    )
    keys = {line.split(': ')[1] for line in _lines(check_decoded(raw, 'f'))}
    assert keys == {
        'zones.z1.x',
        'zones.z2.in_service',
        'zones.z2.region',
        'models.standard.bytes_per_token',
        'models.standard.version',
    }


@pytest.mark.parametrize(
    'team',
    [
        {'tier': 'paid', 'token_digests': [SECRET]},
        {'tier': 'paid', 'token_digests': SECRET},
        {'tier': 'paid', 'token': SECRET},
        {'tier': 'paid', 'weight': SECRET},
        {'tier': {SECRET: 1}},
        SECRET,
    ],
)
def test_clear_text_secret_is_not_repeated(team: Any) -> None:
    """Guards against secrets in terminals, logs and API responses."""
    lines = _lines(check_decoded(_make_raw(teams={'crews': team}), 'f'))
    assert lines
    assert SECRET not in '\n'.join(lines)


@pytest.mark.parametrize(
    'text',
    [
        f'teams: {{crews: [{SECRET}',
        f'teams: !{SECRET} x',
        f'teams: *{SECRET}',
        f'a: &{SECRET} 1\nb: *{SECRET}',
        f'teams: "{SECRET}{INVALID_ESCAPE}"',
    ],
)
def test_yaml_errors_do_not_quote_the_file(text: str) -> None:
    """Guards against a parser message that contains a secret."""
    problems: list[Problem] = []
    assert parse_yaml('f', text.encode(), problems) is None
    assert problems
    assert SECRET not in '\n'.join(problem.line for problem in problems)


@pytest.mark.parametrize('depth', [17, 100, 900, 100_000])
@pytest.mark.parametrize('opening', [b'[', b'{a: ', b'- '])
def test_deep_nesting_is_rejected(depth: int, opening: bytes) -> None:
    """Guards against a stack overflow in the recursive parser."""
    problems: list[Problem] = []
    assert parse_yaml('f', opening * depth, problems) is None
    assert problems


def test_nesting_error_names_the_limit() -> None:
    """Guards against a nesting error whose message omits the limit."""
    problems: list[Problem] = []
    text = b'[' * 100 + b']' * 100
    assert parse_yaml('f', text, problems) is None
    assert 'levels' in problems[0].line


def test_missing_file_and_empty_folder_are_rejected(tmp_path: Path) -> None:
    """Guards against an empty configuration after a typo in a path."""
    missing = tmp_path / 'missing.yaml'
    empty = tmp_path / 'empty'
    empty.mkdir()
    lines = _lines(read_configuration([missing, empty]))
    assert lines[0].startswith(f'{missing}: cannot be read')
    assert lines[1] == f'{empty}: expected at least one YAML file'


SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(['paid', 'z1', 'standard', 'GET', '/x', DIGEST])
    | st.dates()
)
KEYS = st.sampled_from(
    [
        *('zones', 'tiers', 'teams', 'models', 'endpoints', 'services'),
        *('operators', 'tier', 'kind', 'calls', 'method', 'path', 'region'),
        *('token_digests', 'replicas', 'weight', 'z1', 'paid'),
    ]
) | st.text(max_size=4)
TREES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(KEYS | st.integers(), inner, max_size=4)
    ),
    max_leaves=20,
)


@FUZZ
@given(TREES)
def test_any_content_returns_config_or_problems(raw: Any) -> None:
    """Guards against an exception on unexpected content."""
    found = check_decoded(raw, 'f')
    if isinstance(found, Configuration):
        decoded = msgspec.json.decode(
            msgspec.json.encode(found),
            type=Configuration,
        )
        assert decoded == found
        return
    assert all(len(problem.line.splitlines()) == 1 for problem in found)


@FUZZ
@given(st.binary(max_size=200) | st.text(max_size=200).map(str.encode))
def test_any_bytes_return_content_or_problems(content: bytes) -> None:
    """Guards against an uncaught exception of the YAML parser."""
    problems: list[Problem] = []
    raw = parse_yaml('f', content, problems)
    assert (raw is None) == bool(problems)

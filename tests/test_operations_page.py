"""Checks the operations page against the code."""

import dataclasses
import inspect
import re
import tomllib
from pathlib import Path
from typing import Any, get_type_hints

from masticwind import settings
from masticwind.config import model
from masticwind.ctl import held
from masticwind.ctl import main as ctl
from masticwind.errors import ErrorKind
from masticwind.metrics import Metric
from masticwind.serving.settings import DirectSettings

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / 'docs' / 'OPERATIONS.md').read_text()
SOURCE = ''.join(
    path.read_text() for path in (ROOT / 'src' / 'masticwind').rglob('*.py')
)
SERVING_METRICS = frozenset(re.findall(r"'(masticwind_[a-z_]+)'", SOURCE))
SPAN_NAMES = frozenset(re.findall(r"'((?:entry|agent)\.[a-z]+)'", SOURCE))
# All other commands on the page must be programs of this project.
SHELL_TOOLS = frozenset(('head', 'curl', 'export', 'kill', 'printf', 'jq'))
HTTP_HEADERS = frozenset(('traceparent',))
LOG_FIELDS = frozenset(
    (
        'time',
        'level',
        'event',
        'traceback',
        'left_ms',
        'deferred_ms',
        'config_version',
        'admitted_version',
        'config_age_s',
        'source',
        'limit_per_s',
        'limit_age_s',
        'limit_source',
        'permit_wait_ms',
        'named_limit_per_s',
        'named_leaving',
        'named_pause_s',
        'age_ms',
        'answer_begun',
        'cut',
        'predicted_ms',
        'sent',
        'stopping_for_ms',
        'last_event_ms_ago',
        'status',
        'seal',
        'fresh_connection',
        'repeated',
        'buffered_bytes',
        'handled_after_ms',
        'processor_ms',
        'left_out',
        'cause',
        'unused',
        'refused',
        'kept',
        'slow',
    )
)
ENDPOINT_STATES = frozenset(('serving', 'cold', 'out', 'down'))
SETTING_VALUES = frozenset(('true', 'false', 'reader'))


def _setting_keys(kind: Any) -> set[str]:
    keys: set[str] = set()
    hints = get_type_hints(kind)
    for field in model.inspect_fields(kind):
        keys.add(field.name)
        if dataclasses.is_dataclass(hints[field.name]):
            nested_keys = _setting_keys(hints[field.name])
            keys.update(f'{field.name}.{name}' for name in nested_keys)
    return keys


def _known_keys() -> set[str]:
    kinds = (
        settings.EntrySettings,
        settings.AgentSettings,
        model.Zone,
        model.Team,
        model.Operator,
        DirectSettings,
    )
    return set().union(*(_setting_keys(kind) for kind in kinds))


def _commands() -> list[str]:
    blocks = re.findall(r'```sh\n(.*?)```', PAGE, re.DOTALL)
    return [line for block in blocks for line in block.splitlines()]


def test_names_on_the_page_exist_in_the_code() -> None:
    """Guards against metrics, keys and events that no longer exist."""
    text = re.sub(r'```(?:sh|text)\n.*?```', '', PAGE, flags=re.DOTALL)
    keys = _known_keys()
    metrics = {metric.value for metric in Metric}
    kinds = {error_kind.value for error_kind in ErrorKind}
    events = set(
        re.findall(r"\.(?:info|warning|error)\('([a-z_]+)'\)", SOURCE),
    )
    known = keys | metrics | kinds | events | SPAN_NAMES
    known |= (
        SERVING_METRICS
        | HTTP_HEADERS
        | LOG_FIELDS
        | ENDPOINT_STATES
        | SETTING_VALUES
    )
    known |= {command for command in ctl.cli if not command.startswith('-')}
    names = re.findall(r'`([a-z][a-z_]*(?:\.[a-z_]+)*)`', text)
    assert len(names) > 50
    assert set(names) <= known
    labels = re.findall(r'`\.([a-z_]+)`', text)
    assert set(labels) <= kinds | {'paid', 'free'}
    assert metrics & set(names)
    # All error kinds that a caller can receive are explained.
    table = text[text.index('## Troubleshooting') :]
    internal = {'revoked', 'cancelled', 'not_found', 'method_not_allowed'}
    missing = {kind for kind in kinds if f'`{kind}`' not in table}
    assert missing == internal


def test_commands_and_options_on_the_page_exist() -> None:
    """Guards against commands or options that no longer exist."""
    project = tomllib.loads((ROOT / 'pyproject.toml').read_text())
    programs = set(project['project']['scripts'])
    options = {
        f'--{option.name.replace("_", "-")}'
        for kind in (ctl.Options, held.HeldOptions)
        for option in dataclasses.fields(kind)
    }
    for command in (
        ctl.status,
        ctl.show,
        ctl.apply,
        ctl.explain_request,
        held.list_held,
        held.release,
    ):
        names = inspect.signature(command).parameters
        options |= {f'--{name}' for name in names}
    text = [*_commands(), *re.findall(r'`(masticwind-[^`]*)`', PAGE)]
    assert len(text) > 20
    for line in text:
        words = line.split()
        if words[0] in SHELL_TOOLS:
            continue
        assert words[0] in programs, line
        if words[0] == 'masticwind-ctl' and len(words) > 1:
            assert words[1] in set(ctl.cli), line
            used = {word for word in words if word.startswith('--')}
            assert used <= options, line

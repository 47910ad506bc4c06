"""Reads operators' YAML files into one checked `Configuration`.

A configuration consists of one or more files or folders of files. Sections
are merged across files; defining a name twice is an error. All problems are
returned, each with file, key and what was expected.
"""

import dataclasses
import re
from collections.abc import Iterator, Mapping, Sequence
from functools import partial
from pathlib import Path
from typing import Any, Final, get_args, get_type_hints

import msgspec
import yaml

from masticwind.config.checks import check_configuration
from masticwind.config.model import Configuration, Name, inspect_fields
from masticwind.config.problems import Problem
from masticwind.decoding import parse_with
from masticwind.errors import ErrorKind, Failure

Problems = tuple[Problem, ...]

YAML_SUFFIXES: Final = ('.yaml', '.yml')
# A valid file has five levels: section, name, key, list and a mapping in the
# list. libyaml composes documents recursively, so deeply nested input must be
# rejected before it is composed.
MAX_NESTING_LEVELS: Final = 16
# The configuration for the design size of 47,000 teams takes about 12 MB.
MAX_FILE_BYTES: Final = 67_108_864
MAX_SHOWN_KEY_CHARS: Final = 64

_SECRET_KEY: Final = re.compile('token|secret|password|api_?key', re.IGNORECASE)
_TOKEN_DIGESTS: Final = 'token_digests'
_DIGEST_EXPECTED: Final = (
    "expected a SHA-256 digest 'sha256:<64 hex digits>'; "
    'a clear-text secret is not allowed'
)


def read_configuration(paths: Sequence[Path]) -> Configuration | Problems:
    """Read files, and all YAML files in folders, as one configuration."""
    builder = _ConfigurationBuilder()
    for path in _list_files(paths, builder):
        raw = _parse_file(path, builder)
        if raw is not None:
            builder.merge_file(str(path), raw)
    return builder.build()


def check_decoded(raw: object, source: str) -> Configuration | Problems:
    """Check a decoded configuration; problems name `source` as the file."""
    builder = _ConfigurationBuilder()
    builder.merge_file(source, raw)
    return builder.build()


class _ConfigurationBuilder:
    """Collects the sections and problems of all files."""

    def __init__(self) -> None:
        self.problems: Final[list[Problem]] = []
        self._sections: Final[dict[str, dict[str, Any]]] = {}
        self._file_by_key: Final[dict[str, str]] = {}
        self._last_file = 'configuration'
        self._item_types: Final = {
            name: get_args(hint)[1]
            for name, hint in get_type_hints(
                Configuration,
                include_extras=True,
            ).items()
        }

    def add_problem(self, file: str, key: str, expected: str) -> None:
        """Record that `expected` is not met at `key`."""
        self.problems.append(Problem(file=file, key=key, expected=expected))

    def merge_file(self, file: str, raw: object) -> None:
        """Add the sections of one file."""
        self._last_file = file
        if not isinstance(raw, dict):
            self.add_problem(file, '', 'expected a mapping of sections')
            return
        for section, items in raw.items():
            if section not in self._item_types:
                expected = f'expected a section ({", ".join(self._item_types)})'
                self.add_problem(file, format_key(section), expected)
                continue
            # A section header without content is decoded as null.
            if items is None:
                continue
            if not isinstance(items, dict):
                self.add_problem(file, section, 'expected a mapping of names')
                continue
            for name, value in items.items():
                self._merge_item(file, section, name, value)

    def build(self) -> Configuration | Problems:
        """Check references; return the configuration or all problems."""
        config = Configuration(**self._sections)
        # After a rejected item, references to it would be reported as well.
        if not self.problems:
            for key, expected in check_configuration(config):
                file = self._file_by_key.get(
                    self._find_item_key(key), self._last_file
                )
                self.add_problem(file, key, expected)
        return tuple(self.problems) if self.problems else config

    def _find_item_key(self, key: str) -> str:
        # Names may contain dots, so the longest known prefix is the item.
        parts = key.split('.')
        for end in range(len(parts), 1, -1):
            item_key = '.'.join(parts[:end])
            if item_key in self._file_by_key:
                return item_key
        return key

    def _merge_item(
        self,
        file: str,
        section: str,
        name: object,
        value: object,
    ) -> None:
        key = f'{section}.{format_key(name)}'
        try:
            valid_name = msgspec.convert(name, type=Name)
        except msgspec.ValidationError:
            expected = (
                'expected a name of 1 to 64 letters, digits, dots, '
                'hyphens and underscores'
            )
            self.add_problem(file, key, expected)
            return
        first_file = self._file_by_key.get(key)
        if first_file is not None:
            self.add_problem(
                file, key, f'expected one definition; also in {first_file}'
            )
            return
        self._file_by_key[key] = file
        before = len(self.problems)
        for item_key, expected in find_item_problems(
            value, self._item_types[section]
        ):
            self.add_problem(file, f'{key}{item_key}', expected)
        if len(self.problems) == before:
            item = msgspec.convert(value, type=self._item_types[section])
            self._sections.setdefault(section, {})[valid_name] = item


def find_item_problems(
    value: object, item_type: Any
) -> Iterator[tuple[str, str]]:
    """Yield the problems of an item that should be of data class `item_type`.

    Each key is checked separately, so that one problem does not hide others.
    """
    if not isinstance(value, dict):
        yield '', 'expected a mapping'
        return
    hints = get_type_hints(item_type, include_extras=True)
    for key, content in value.items():
        if key not in hints:
            yield f'.{format_key(key)}', _describe_unknown_key(key, hints)
            continue
        yield from _find_field_problems(f'.{key}', content, hints[key])
    for field in inspect_fields(item_type):
        if field.required and field.name not in value:
            yield f'.{field.name}', 'expected a value; the key is required'


def format_key(key: object) -> str:
    """Return a key as one line of limited length, for messages."""
    text = ' '.join(str(key).split())
    return (
        text
        if len(text) <= MAX_SHOWN_KEY_CHARS
        else f'{text[:MAX_SHOWN_KEY_CHARS]}...'
    )


def _find_field_problems(
    field_key: str,
    content: object,
    hint: Any,
) -> Iterator[tuple[str, str]]:
    element_type = next(iter(get_args(hint)), None)
    if isinstance(content, list) and dataclasses.is_dataclass(element_type):
        for position, item in enumerate(content):
            for key, expected in find_item_problems(item, element_type):
                yield f'{field_key}[{position}]{key}', expected
        return
    try:
        msgspec.convert(content, type=hint)
    except msgspec.ValidationError as exc:
        if field_key.endswith(_TOKEN_DIGESTS):
            yield field_key, _DIGEST_EXPECTED
            return
        yield field_key, _format_expectation(str(exc), hint)


def _format_expectation(message: str, hint: Any) -> str:
    if message.startswith('Invalid enum value'):
        # The message of msgspec contains the value, which may be a secret.
        choices = ', '.join(str(choice) for choice in get_args(hint))
        return f'expected one of {choices}'
    text = message.replace('`', '')
    return f'{text[0].lower()}{text[1:]}'


def _describe_unknown_key(key: object, known: Mapping[str, object]) -> str:
    if _SECRET_KEY.search(str(key)):
        return (
            f'expected no such key; secrets are given as SHA-256 '
            f'digests under {_TOKEN_DIGESTS}'
        )
    return f'expected a known key ({", ".join(known)})'


def _list_files(
    paths: Sequence[Path], builder: _ConfigurationBuilder
) -> Iterator[Path]:
    for path in paths:
        if not path.is_dir():
            yield path
            continue
        found = sorted(
            file for file in path.iterdir() if file.suffix in YAML_SUFFIXES
        )
        if not found:
            builder.add_problem(
                str(path), '', 'expected at least one YAML file'
            )
        yield from found


def _parse_file(path: Path, builder: _ConfigurationBuilder) -> object | None:
    try:
        content = path.read_bytes()
    except OSError as exc:
        builder.add_problem(str(path), '', f'cannot be read: {exc.strerror}')
        return None
    return parse_yaml(str(path), content, builder.problems)


def parse_yaml(
    file: str,
    content: bytes,
    problems: list[Problem],
) -> object | None:
    """Return the decoded YAML; on failure add to `problems`, return none."""
    if len(content) > MAX_FILE_BYTES:
        expected = f'expected at most {MAX_FILE_BYTES} bytes'
        problems.append(Problem(file=file, key='', expected=expected))
        return None
    errors = parse_with(
        _list_structure_problems,
        content,
        ErrorKind.INVALID_CONFIG,
        _describe_yaml_error,
    )
    if isinstance(errors, Failure):
        errors = [errors.reason]
    problems.extend(
        Problem(file=file, key='', expected=expected) for expected in errors
    )
    if errors:
        return None
    return _load_yaml(file, content, problems)


def _load_yaml(
    file: str,
    content: bytes,
    problems: list[Problem],
) -> object | None:
    raw: object = parse_with(
        partial(yaml.load, Loader=yaml.CSafeLoader),
        content.decode(),
        ErrorKind.INVALID_CONFIG,
        _describe_yaml_error,
    )
    if isinstance(raw, Failure):
        problems.append(Problem(file=file, key='', expected=raw.reason))
        return None
    return {} if raw is None else raw


def _describe_yaml_error(exc: Exception) -> str:
    # The parser's message can quote the file, which may contain a secret.
    if isinstance(exc, UnicodeDecodeError):
        return 'expected UTF-8 text'
    mark = None
    if isinstance(exc, yaml.MarkedYAMLError):
        mark = exc.problem_mark
    if mark is None:
        return 'expected YAML'
    return f'expected YAML at line {mark.line + 1}, column {mark.column + 1}'


def _list_structure_problems(content: bytes) -> list[str]:
    return list(_find_structure_problems(content.decode()))


def _find_structure_problems(text: str) -> Iterator[str]:
    """Yield messages for duplicate keys, aliases and deep nesting.

    The loader silently keeps the last of two equal keys, and aliases let a
    small file expand to any size.
    """
    checker = _StructureChecker()
    for event in yaml.parse(text, Loader=yaml.CSafeLoader):
        error = checker.process_event(event)
        if error:
            line = event.start_mark.line + 1 if event.start_mark else 0
            yield f'{error} at line {line}'
        if checker.is_too_deep:
            return


class _StructureChecker:
    """Checks a stream of parse events and tracks the path of keys."""

    def __init__(self) -> None:
        # For each open collection: the keys so far, or none for a list.
        self._seen_keys: Final[list[set[str] | None]] = []
        self._key_is_next: Final[list[bool]] = []
        self._path: Final[list[str]] = []

    @property
    def is_too_deep(self) -> bool:
        """Whether the nesting limit was exceeded."""
        return len(self._seen_keys) > MAX_NESTING_LEVELS

    def process_event(self, event: yaml.Event) -> str:
        """Process one event; return an error message or an empty string."""
        if isinstance(event, yaml.AliasEvent):
            return 'expected no alias'
        if isinstance(event, yaml.CollectionEndEvent):
            self._seen_keys.pop()
            self._key_is_next.pop()
            self._path.pop()
            return ''
        if isinstance(event, yaml.CollectionStartEvent):
            return self._open_collection(
                isinstance(event, yaml.MappingStartEvent)
            )
        if isinstance(event, yaml.ScalarEvent):
            return self._process_scalar(event.value)
        return ''

    def _open_collection(self, is_mapping: bool) -> str:
        error = ''
        if self._expects_key():
            error = 'expected a plain key'
        self._toggle_key_and_value()
        self._seen_keys.append(set() if is_mapping else None)
        self._key_is_next.append(is_mapping)
        self._path.append('')
        if self.is_too_deep:
            return f'expected at most {MAX_NESTING_LEVELS} levels'
        return error

    def _process_scalar(self, text: str) -> str:
        error = ''
        if self._expects_key():
            seen = self._seen_keys[-1]
            assert seen is not None
            if text in seen:
                path = [parent for parent in self._path[:-1] if parent]
                key = '.'.join([*path, format_key(text)])
                error = f'expected {key} to be defined once'
            seen.add(text)
            self._path[-1] = format_key(text)
        self._toggle_key_and_value()
        return error

    def _expects_key(self) -> bool:
        return bool(self._seen_keys) and self._key_is_next[-1]

    def _toggle_key_and_value(self) -> None:
        # In a mapping, keys and values alternate.
        if self._seen_keys and self._seen_keys[-1] is not None:
            self._key_is_next[-1] = not self._key_is_next[-1]

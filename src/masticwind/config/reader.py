"""Reads operators' YAML files into one checked `Configuration`.

A configuration is one file, several files or folders of files. Sections
merge across files; a name that is defined twice is an error. All problems
are returned, each with file, key and expectation.
"""

import dataclasses
import re
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any, Final, get_args, get_type_hints

import msgspec
import yaml

from masticwind.config.checks import check_configuration
from masticwind.config.model import Configuration, Name, inspect_fields
from masticwind.config.problems import Problem

Problems = tuple[Problem, ...]

SUFFIXES: Final = ('.yaml', '.yml')
# A section, a name, a key, a list and a mapping in it: a valid file nests
# five levels. libyaml composes recursively, so deep input must be refused
# before it is composed.
MAX_DEPTH: Final = 16
# The configuration for the design scale, 47,000 teams, takes about 12 MB.
MAX_FILE_BYTES: Final = 67_108_864
MAX_KEY_SHOWN: Final = 64

_SECRET_KEY: Final = re.compile('token|secret|password|api_?key', re.IGNORECASE)
_DIGESTS: Final = 'token_digests'
_DIGEST_EXPECTED: Final = (
    "expected a SHA-256 digest 'sha256:<64 hex digits>'; "
    'a clear-text secret is not allowed'
)


def read_configuration(paths: Sequence[Path]) -> Configuration | Problems:
    """Read files, or all YAML files in folders, as one configuration."""
    reading = _Reading()
    for path in _files(paths, reading):
        raw = _parse(path, reading)
        if raw is not None:
            reading.merge(str(path), raw)
    return reading.finish()


def check_decoded(raw: object, source: str) -> Configuration | Problems:
    """Check decoded content that came from `source`, such as a request."""
    reading = _Reading()
    reading.merge(source, raw)
    return reading.finish()


class _Reading:
    """What has been read so far."""

    def __init__(self) -> None:
        self.problems: Final[list[Problem]] = []
        self._sections: Final[dict[str, dict[str, Any]]] = {}
        self._origin: Final[dict[str, str]] = {}
        self._last_file = 'configuration'
        self._kinds: Final = {
            name: get_args(hint)[1]
            for name, hint in get_type_hints(
                Configuration,
                include_extras=True,
            ).items()
        }

    def add(self, file: str, key: str, expected: str) -> None:
        """Note a problem."""
        self.problems.append(Problem(file=file, key=key, expected=expected))

    def merge(self, file: str, raw: object) -> None:
        """Add the sections of one file."""
        self._last_file = file
        if not isinstance(raw, dict):
            self.add(file, '', 'expected a mapping of sections')
            return
        for section, named in raw.items():
            if section not in self._kinds:
                expected = f'expected a section ({", ".join(self._kinds)})'
                self.add(file, shown(section), expected)
                continue
            # A section header without entries reads as null.
            if named is None:
                continue
            if not isinstance(named, dict):
                self.add(file, section, 'expected a mapping of names')
                continue
            for name, value in named.items():
                self._merge_one(file, section, name, value)

    def finish(self) -> Configuration | Problems:
        """Check cross references and return the whole."""
        config = Configuration(**self._sections)
        # References to an entry that was refused would only add noise.
        if not self.problems:
            for key, expected in check_configuration(config):
                file = self._origin.get(self._owner(key), self._last_file)
                self.add(file, key, expected)
        return tuple(self.problems) if self.problems else config

    def _owner(self, key: str) -> str:
        # Names may hold dots, so the longest origin that fits is the owner.
        parts = key.split('.')
        for end in range(len(parts), 1, -1):
            owner = '.'.join(parts[:end])
            if owner in self._origin:
                return owner
        return key

    def _merge_one(
        self,
        file: str,
        section: str,
        name: object,
        value: object,
    ) -> None:
        key = f'{section}.{shown(name)}'
        try:
            checked = msgspec.convert(name, type=Name)
        except msgspec.ValidationError:
            expected = (
                'expected a name of 1 to 64 letters, digits, dots, '
                'hyphens and underscores'
            )
            self.add(file, key, expected)
            return
        first = self._origin.get(key)
        if first is not None:
            self.add(file, key, f'expected one definition; also in {first}')
            return
        self._origin[key] = file
        before = len(self.problems)
        for inner, expected in entry_problems(value, self._kinds[section]):
            self.add(file, f'{key}{inner}', expected)
        if len(self.problems) == before:
            entry = msgspec.convert(value, type=self._kinds[section])
            self._sections.setdefault(section, {})[checked] = entry


def entry_problems(value: object, kind: Any) -> Iterator[tuple[str, str]]:
    """Yield the problems of one entry that should be of data class `kind`.

    Each key is checked by itself, so that one fault does not hide another.
    """
    if not isinstance(value, dict):
        yield '', 'expected a mapping'
        return
    hints = get_type_hints(kind, include_extras=True)
    for key, content in value.items():
        if key not in hints:
            yield f'.{shown(key)}', _unknown_key(key, hints)
            continue
        yield from _field_problems(f'.{key}', content, hints[key])
    for field in inspect_fields(kind):
        if field.required and field.name not in value:
            yield f'.{field.name}', 'expected a value; the key is required'


def shown(key: object) -> str:
    """Return a key as it may appear in a message: short and on one line."""
    text = ' '.join(str(key).split())
    return text if len(text) <= MAX_KEY_SHOWN else f'{text[:MAX_KEY_SHOWN]}...'


def _field_problems(
    where: str,
    content: object,
    hint: Any,
) -> Iterator[tuple[str, str]]:
    inner = next(iter(get_args(hint)), None)
    if isinstance(content, list) and dataclasses.is_dataclass(inner):
        for position, item in enumerate(content):
            for key, expected in entry_problems(item, inner):
                yield f'{where}[{position}]{key}', expected
        return
    try:
        msgspec.convert(content, type=hint)
    except msgspec.ValidationError as exc:
        if where.endswith(_DIGESTS):
            yield where, _DIGEST_EXPECTED
            return
        yield where, _expectation(str(exc), hint)


def _expectation(message: str, hint: Any) -> str:
    if message.startswith('Invalid enum value'):
        # The library's message would repeat the value.
        choices = ', '.join(str(one) for one in get_args(hint))
        return f'expected one of {choices}'
    text = message.replace('`', '')
    return f'{text[0].lower()}{text[1:]}'


def _unknown_key(key: object, known: Mapping[str, object]) -> str:
    if _SECRET_KEY.search(str(key)):
        return (
            f'expected no such key; secrets are given as SHA-256 '
            f'digests under {_DIGESTS}'
        )
    return f'expected a known key ({", ".join(known)})'


def _files(paths: Sequence[Path], reading: _Reading) -> Iterator[Path]:
    for path in paths:
        if not path.is_dir():
            yield path
            continue
        found = sorted(one for one in path.iterdir() if one.suffix in SUFFIXES)
        if not found:
            reading.add(str(path), '', 'expected at least one YAML file')
        yield from found


def _parse(path: Path, reading: _Reading) -> object | None:
    try:
        content = path.read_bytes()
    except OSError as exc:
        reading.add(str(path), '', f'cannot be read: {exc.strerror}')
        return None
    return parse_yaml(str(path), content, reading.problems)


def parse_yaml(
    file: str,
    content: bytes,
    problems: list[Problem],
) -> object | None:
    """Return the decoded YAML, or none after adding to `problems`."""
    if len(content) > MAX_FILE_BYTES:
        expected = f'expected at most {MAX_FILE_BYTES} bytes'
        problems.append(Problem(file=file, key='', expected=expected))
        return None
    try:
        faults = list(_structure_problems(content.decode()))
    except UnicodeDecodeError:
        faults = ['expected UTF-8 text']
    except yaml.YAMLError as exc:
        faults = [_yaml_fault(exc)]
    problems.extend(
        Problem(file=file, key='', expected=expected) for expected in faults
    )
    if faults:
        return None
    return _construct(file, content, problems)


def _construct(
    file: str,
    content: bytes,
    problems: list[Problem],
) -> object | None:
    try:
        raw: object = yaml.load(content.decode(), Loader=yaml.CSafeLoader)
    except (yaml.YAMLError, ValueError, TypeError) as exc:
        fault = _yaml_fault(exc)
        problems.append(Problem(file=file, key='', expected=fault))
        return None
    return {} if raw is None else raw


def _yaml_fault(exc: Exception) -> str:
    # The parser's own text can quote the file, which may hold a secret.
    mark = None
    if isinstance(exc, yaml.MarkedYAMLError):
        mark = exc.problem_mark
    if mark is None:
        return 'expected YAML'
    return f'expected YAML at line {mark.line + 1}, column {mark.column + 1}'


def _structure_problems(text: str) -> Iterator[str]:
    """Yield duplicate keys, aliases and deep nesting.

    The loader keeps the last of two equal keys without a word, and aliases
    let a small file expand without bound.
    """
    walk = _Walk()
    for event in yaml.parse(text, Loader=yaml.CSafeLoader):
        fault = walk.step(event)
        if fault:
            line = event.start_mark.line + 1 if event.start_mark else 0
            yield f'{fault} at line {line}'
        if walk.too_deep:
            return


class _Walk:
    """Follows parse events and keeps the path of keys."""

    def __init__(self) -> None:
        # One frame for each open collection: keys seen, or none in a list.
        self._frames: Final[list[set[str] | None]] = []
        self._is_key: Final[list[bool]] = []
        self._path: Final[list[str]] = []

    @property
    def too_deep(self) -> bool:
        """Whether the nesting limit was exceeded."""
        return len(self._frames) > MAX_DEPTH

    def step(self, event: yaml.Event) -> str:
        """Take one event; return what is wrong with it, or nothing."""
        if isinstance(event, yaml.AliasEvent):
            return 'expected no alias'
        if isinstance(event, yaml.CollectionEndEvent):
            self._frames.pop()
            self._is_key.pop()
            self._path.pop()
            return ''
        if isinstance(event, yaml.CollectionStartEvent):
            return self._open(isinstance(event, yaml.MappingStartEvent))
        if isinstance(event, yaml.ScalarEvent):
            return self._scalar(event.value)
        return ''

    def _open(self, is_mapping: bool) -> str:
        fault = ''
        if self._expects_key():
            fault = 'expected a plain key'
        self._turn()
        self._frames.append(set() if is_mapping else None)
        self._is_key.append(is_mapping)
        self._path.append('')
        if self.too_deep:
            return f'expected at most {MAX_DEPTH} levels'
        return fault

    def _scalar(self, text: str) -> str:
        fault = ''
        if self._expects_key():
            seen = self._frames[-1]
            assert seen is not None
            if text in seen:
                path = [one for one in self._path[:-1] if one]
                key = '.'.join([*path, shown(text)])
                fault = f'expected {key} to be defined once'
            seen.add(text)
            self._path[-1] = shown(text)
        self._turn()
        return fault

    def _expects_key(self) -> bool:
        return bool(self._frames) and self._is_key[-1]

    def _turn(self) -> None:
        # In a mapping, keys and values take turns.
        if self._frames and self._frames[-1] is not None:
            self._is_key[-1] = not self._is_key[-1]

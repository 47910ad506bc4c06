"""Types of values in settings, and the reader of YAML settings files.

Every value has a type and a range. An error names the file, the key and the
expected value. The settings of each program are defined elsewhere, so that a
program imports only its own.
"""

from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Annotated, Literal, TypeVar

import msgspec
import yaml

from masticwind.decoding import parse_with
from masticwind.errors import ErrorKind, Failure

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
PositiveMs = Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
LogLevel = Literal['debug', 'info', 'warning', 'error']
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]

_Settings = TypeVar('_Settings')


@dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """An IP address and a TCP port; port 0 lets the system choose."""

    host: str = '127.0.0.1'
    port: Port = 0


def read_settings(path: Path, kind: type[_Settings]) -> _Settings | Failure:
    """Read the YAML file at `path` as settings of type `kind`.

    Returns a `Failure` of kind `bad_request` with one line that names the
    file, the key and the expected value.
    """
    try:
        content = path.read_bytes()
    except OSError as exc:
        return _invalid_settings(path, f'cannot be read: {exc.strerror}')
    raw: object = parse_with(_load_yaml, content, ErrorKind.BAD_REQUEST)
    if isinstance(raw, Failure):
        reason = ' '.join(f'is not YAML: {raw.reason}'.split())
        return _invalid_settings(path, reason)
    return decode_settings(path, raw, kind)


def decode_settings(
    path: Path,
    raw: object,
    kind: type[_Settings],
) -> _Settings | Failure:
    """Convert `raw`, the decoded content of `path`, to settings of `kind`."""
    unknown = find_unknown_key(raw, kind)
    if unknown:
        return _invalid_settings(path, f'key {unknown} is unknown')
    cfg: _Settings | Failure = parse_with(
        partial(msgspec.convert, type=kind), raw, ErrorKind.BAD_REQUEST
    )
    if isinstance(cfg, Failure):
        return _invalid_settings(path, cfg.reason)
    return cfg


def find_unknown_key(raw: object, kind: object, parent_path: str = '') -> str:
    """Return the path of the first key that `kind` does not have.

    msgspec ignores unknown keys in data classes. A misspelt key, for which the
    default would be used, is the most common error in settings.
    """
    if not isinstance(raw, dict):
        return ''
    if not hasattr(kind, '__dataclass_fields__'):
        return ''
    type_info = msgspec.inspect.type_info(kind)
    assert isinstance(type_info, msgspec.inspect.DataclassType)
    types_by_name = {
        field_info.name: field_info.type for field_info in type_info.fields
    }
    for key, value in raw.items():
        key_path = f'{parent_path}.{key}' if parent_path else str(key)
        if key not in types_by_name:
            return key_path
        nested_kind = getattr(types_by_name[key], 'cls', None)
        if nested_kind is None:
            continue
        nested_path = find_unknown_key(value, nested_kind, key_path)
        if nested_path:
            return nested_path
    return ''


def _load_yaml(content: bytes) -> object:
    return yaml.safe_load(content.decode())


def _invalid_settings(path: Path, reason: str) -> Failure:
    return Failure(kind=ErrorKind.BAD_REQUEST, reason=f'{path}: {reason}')

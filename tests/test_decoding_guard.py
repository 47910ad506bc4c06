"""Places that decode input, which all go through one guard."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import masticwind

SOURCE: Final = Path(masticwind.__file__).parent
GUARD: Final = 'decoding.py'
# Modules whose decoding functions are called through the guard. The reader
# converts content that the guard has decoded, and reports each problem.
GUARDED_MODULES: Final = frozenset(
    (
        GUARD,
        'config/reader.py',
        'entry/chat_body.py',
        'entry/json_text.py',
        'json_reader.py',
        'platform/documents.py',
        'platform/store.py',
        'protocol/codec.py',
        'serving/copies.py',
        'serving/datagrams.py',
        'settings_file.py',
    )
)
DECODERS: Final = frozenset(
    (
        'base64.b64decode',
        'base64.urlsafe_b64decode',
        'cbor2.load',
        'cbor2.loads',
        'json.JSONDecoder',
        'json.loads',
        'msgspec.convert',
        'msgspec.json.Decoder',
        'msgspec.json.decode',
        'msgspec.msgpack.Decoder',
        'msgspec.msgpack.decode',
        'yaml.load',
        'yaml.parse',
        'yaml.safe_load',
    )
)
DECODER_ERRORS: Final = frozenset(
    ('DecodeError', 'MsgspecError', 'RecursionError', 'YAMLError')
)


def _modules() -> Iterator[tuple[str, ast.Module]]:
    for path in sorted(SOURCE.rglob('*.py')):
        name = path.relative_to(SOURCE).as_posix()
        yield name, ast.parse(path.read_text())


def test_input_is_decoded_through_the_guard_only() -> None:
    """Guards against a new place that decodes input without the guard."""
    found: set[str] = set()
    for name, module in _modules():
        for node in ast.walk(module):
            if not isinstance(node, ast.Attribute):
                continue
            if ast.unparse(node) in DECODERS:
                found.add(name)
    assert found == GUARDED_MODULES


def test_errors_of_decoders_are_caught_by_the_guard_only() -> None:
    """Guards against places that list some errors of a decoder themselves."""
    found: set[str] = set()
    for name, module in _modules():
        for node in ast.walk(module):
            if not isinstance(node, ast.ExceptHandler) or node.type is None:
                continue
            caught = re.findall(r'\w+', ast.unparse(node.type))
            if not DECODER_ERRORS.isdisjoint(caught):
                found.add(name)
    assert not found

"""Stalls by garbage collections that visit the objects of the start."""

import gc
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import anyio
import pytest

from masticwind.agent import main as agent_main
from masticwind.entry import main as entry_main


@pytest.fixture
def _unfreeze() -> Iterator[None]:
    yield
    gc.unfreeze()


@pytest.mark.usefixtures('_unfreeze')
@pytest.mark.parametrize('name', ['entry', 'agent'])
def test_full_collection_does_not_visit_objects_of_the_start(
    name: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against full collections that stop an event loop for 50 ms."""
    program: Any = {'entry': entry_main, 'agent': agent_main}[name]
    visited: list[bool] = []

    def record_run(*_args: object, **_kwargs: object) -> None:
        visited.append(any(module is program for module in gc.get_objects()))

    monkeypatch.setattr(program, 'load_settings_or_exit', lambda *_: None)
    monkeypatch.setattr(anyio, 'run', record_run)
    program.serve(Path('settings.yaml'))
    assert visited == [False]

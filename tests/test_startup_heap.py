"""Garbage collections during the start, and of the objects of the start."""

import gc
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import anyio
import pytest

import masticwind_platform
from masticwind.agent import main as agent_main
from masticwind.entry import main as entry_main
from masticwind.platform import main as platform_main
from masticwind.program import read_settings_file
from masticwind.serving.settings import DirectSettings, LiveSettings
from tests.entry_harness import sample_settings


@pytest.fixture
def _unfreeze() -> Iterator[None]:
    yield
    gc.unfreeze()
    gc.enable()


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


@pytest.mark.usefixtures('_unfreeze')
def test_platform_entry_does_not_collect_during_imports(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against collections that delay the first answer of an entry."""
    enabled: list[bool] = []
    monkeypatch.setenv('LOGURU_AUTOINIT', '0')
    monkeypatch.setattr(signal, 'signal', lambda *_: None)
    monkeypatch.setattr(
        platform_main, 'main', lambda: enabled.append(gc.isenabled())
    )
    masticwind_platform.start()
    assert enabled == [False]


@pytest.mark.anyio
@pytest.mark.usefixtures('_unfreeze')
async def test_platform_entry_collects_once_it_serves(tmp_path: Path) -> None:
    """Guards against an entry whose cycles are never freed, and against full
    collections that visit the objects of its start.
    """
    settings = read_settings_file(tmp_path / 'settings', DirectSettings)
    live = LiveSettings(sample_settings())
    gc.disable()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(platform_main._run_entry, settings, live)
        with anyio.fail_after(10):
            while not gc.isenabled():
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    assert not any(one is platform_main for one in gc.get_objects())

"""Command line of `masticwind-entry`."""

from pathlib import Path

import anyio
import cyclopts

from masticwind import __version__
from masticwind.entry.server import Entry
from masticwind.hangup import ignore_hangup
from masticwind.logs import get_logger
from masticwind.program import StoppableProgram, load_settings_or_exit
from masticwind.settings import EntrySettings
from masticwind.startup_heap import freeze_startup_objects

cli = cyclopts.App(
    name='masticwind-entry',
    help='Serve callers of models and plain services.',
    version=__version__,
)


@cli.default
def serve(settings: Path) -> None:
    """Serve callers with the settings in the YAML file SETTINGS."""
    cfg = load_settings_or_exit(settings, EntrySettings)
    freeze_startup_objects()
    anyio.run(_serve, cfg, backend_options={'use_uvloop': True})


async def _serve(cfg: EntrySettings) -> None:
    async with anyio.create_task_group() as tasks:
        entry = Entry(cfg)
        await tasks.start(ignore_hangup)
        await tasks.start(StoppableProgram(entry.run, entry.drain).run)
        log = get_logger('entry', cfg.node)
        ports = {'port': entry.port, 'inner_port': entry.neighbours.port}
        log.bind(**ports).info('started')


def main() -> None:
    """Run the program."""
    cli()


if __name__ == '__main__':
    main()

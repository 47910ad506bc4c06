"""Command line of `masticwind-agent`."""

from pathlib import Path

import anyio
import cyclopts

from masticwind import __version__
from masticwind.agent.server import Agent
from masticwind.hangup import ignore_hangup
from masticwind.logs import get_logger
from masticwind.program import StoppableProgram, load_settings_or_exit
from masticwind.settings import AgentSettings
from masticwind.startup_heap import freeze_startup_objects

cli = cyclopts.App(
    name='masticwind-agent',
    help='Serve one endpoint to the entries.',
    version=__version__,
)


@cli.default
def serve(settings: Path) -> None:
    """Serve the endpoint that the YAML file SETTINGS names."""
    cfg = load_settings_or_exit(settings, AgentSettings)
    freeze_startup_objects()
    anyio.run(_serve, cfg, backend_options={'use_uvloop': True})


async def _serve(cfg: AgentSettings) -> None:
    async with anyio.create_task_group() as tasks:
        agent = Agent(cfg, tasks)
        await tasks.start(ignore_hangup)
        await tasks.start(StoppableProgram(agent.run, agent.drain).run)
        log = get_logger('agent', cfg.node)
        log.bind(port=agent.port, endpoint=cfg.endpoint).info('started')


def main() -> None:
    """Run the program."""
    cli()


if __name__ == '__main__':
    main()

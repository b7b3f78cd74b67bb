"""The node program on the users' platform."""

import sys

from mode import Worker

from ..batch.policy import Standing
from ..clock import SuspendAwareClock
from ..ids import WorkerId
from ..logs import setup_bounded_logs
from ..node.application import NodeApplication, Surroundings
from ..node.feed import Entries
from ..node.roster import WorkerPorts
from .adviser import AdviserConnection
from .callers import Front, make_ready_handler
from .exceptions import UndecodableError
from .operators import (
    OPERATORS_PREFIX,
    POLICY_KEY,
    WORKERS_PREFIX,
    closed_domain,
    decode_policy,
    decode_worker,
)
from .settings import load_node_settings
from .store import PlatformStore
from .workers import WorkerConnection

EXIT_USAGE = 2


def main() -> None:
    """Run the program; exits with status 2 when the settings are wrong."""
    try:
        settings = load_node_settings()
    except UndecodableError as exc:
        sys.stderr.write(f'bulrushcove-node: {exc}\n')
        sys.exit(EXIT_USAGE)
    setup_bounded_logs()
    clock = SuspendAwareClock()
    store = PlatformStore(settings.store_address, clock)
    adviser = AdviserConnection(settings.adviser_address)

    async def close() -> None:
        await store.close()
        await adviser.close()

    around = Surroundings(
        store=store,
        ports=WorkerPorts(
            WORKERS_PREFIX,
            decode_worker,
            make_worker_port,
            adviser.ask,
        ),
        operators_prefix=OPERATORS_PREFIX,
        decode_standing=decode_standing,
        make_front=Front,
        make_ready_handler=make_ready_handler,
        reload_settings=load_node_settings,
        close=close,
    )
    application = NodeApplication(settings, around, clock)
    worker = Worker(
        application,
        override_logging=False,
        redirect_stdouts=False,
        quiet=True,
    )
    worker.execute_from_commandline()


def make_worker_port(worker: str, address: str) -> WorkerConnection:
    """Return calls to ``worker``."""
    return WorkerConnection(WorkerId(worker), address)


def decode_standing(entries: Entries, revision: int) -> Standing:
    """Return what the operators' keys say as of ``revision``."""
    stored = entries.get(POLICY_KEY)
    closed = (closed_domain(key) for key in entries)
    return Standing(
        policy=decode_policy(stored) if stored else None,
        closed_domains=frozenset(domain for domain in closed if domain),
        revision=revision,
    )

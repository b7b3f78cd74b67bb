"""Entry point of the node program; connects it to the platform."""

import gc
import sys

from mode import Worker

from ..batch.policy import DesiredState
from ..clock import SuspendAwareClock
from ..ids import WorkerId
from ..logs import setup_bounded_logs
from ..node.application import NodeApplication, PlatformAdapter
from ..node.prefix_cache import Entries
from ..node.worker_registry import WorkerAdapter
from .adviser_client import HttpAdviserClient
from .exceptions import UndecodableError
from .job_api import HttpJobApi, make_ready_handler
from .settings import load_node_settings
from .store import PlatformStore
from .store_entries import (
    OPERATORS_PREFIX,
    POLICY_KEY,
    WORKERS_PREFIX,
    decode_policy,
    decode_worker,
    parse_closed_domain,
)
from .worker_client import HttpWorkerClient

EXIT_INVALID_SETTINGS = 2
# Objects allocated between two collections of the youngest, and the number of
# collections of a generation between two of the next one. Jobs of thousands of
# tasks live long, and little garbage is cyclic.
GC_THRESHOLDS = (10_000, 20, 50)


def main() -> None:
    """Run the program; exits with status 2 if the settings are invalid."""
    try:
        settings = load_node_settings()
    except UndecodableError as exc:
        sys.stderr.write(f'bulrushcove-node: {exc}\n')
        sys.exit(EXIT_INVALID_SETTINGS)
    setup_bounded_logs()
    gc.set_threshold(*GC_THRESHOLDS)
    clock = SuspendAwareClock()
    store = PlatformStore(settings.store_address, clock)
    adviser = HttpAdviserClient(settings.adviser_address)

    async def close() -> None:
        await store.close()
        await adviser.close()

    adapter = PlatformAdapter(
        store=store,
        worker_adapter=WorkerAdapter(
            WORKERS_PREFIX,
            decode_worker,
            make_worker_client,
            adviser.request_advice,
        ),
        operator_prefix=OPERATORS_PREFIX,
        decode_desired_state=decode_desired_state,
        make_job_api=HttpJobApi,
        make_ready_handler=make_ready_handler,
        reload_settings=load_node_settings,
        close=close,
    )
    application = NodeApplication(settings, adapter, clock)
    mode_worker = Worker(
        application,
        override_logging=False,
        redirect_stdouts=False,
        quiet=True,
    )
    mode_worker.execute_from_commandline()


def make_worker_client(worker: str, address: str) -> HttpWorkerClient:
    """Return an HTTP client of ``worker`` at ``address``."""
    return HttpWorkerClient(WorkerId(worker), address)


def decode_desired_state(entries: Entries, revision: int) -> DesiredState:
    """Decode the operators' store entries as of store revision ``revision``.

    The policy is None if the configuration is missing or not decodable.
    """
    stored_policy = entries.get(POLICY_KEY)
    domains = (parse_closed_domain(key) for key in entries)
    return DesiredState(
        policy=decode_policy(stored_policy) if stored_policy else None,
        closed_domains=frozenset(domain for domain in domains if domain),
        revision=revision,
    )

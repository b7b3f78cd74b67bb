"""Settings, workers and jobs for capacity measurements."""

import msgspec
from aiohttp import web

from bulrushcove.configuration import Configuration
from bulrushcove.configuration_codec import encode_configuration
from bulrushcove.contract import Contract
from bulrushcove.ids import DomainName, JobId, OrganisationId, RackId, WorkerId
from bulrushcove.job import JobRecord, JobSpec
from bulrushcove.settings import (
    ControlSettings,
    EntrySettings,
    PlatformSettings,
    Settings,
    VmSettings,
)
from bulrushcove.states import DomainState, JobState
from bulrushcove.worker_api import WorkerDescription
from dev.standins.faults import FaultInjector
from dev.standins.hosting import HOST, HostedServer

DOMAIN = DomainName('north')
ORGANISATION = OrganisationId('mill')
GANG_TASKS = 8
WORKERS_PER_RACK = 8


def make_settings(ports: list[int]) -> Settings:
    """Return the settings of the control daemon.

    ``ports``: store, VM list, stream, HTTP.
    """
    kv, vms, stream, http = ports
    return Settings(
        vm=VmSettings(id='vm-1', domain=DOMAIN),
        entry=EntrySettings(port=0),
        control=ControlSettings(stream_port=stream, http_port=http),
        platform=PlatformSettings(
            store_url=f'http://{HOST}:{kv}',
            vm_list_url=f'http://{HOST}:{vms}/vms',
        ),
    )


def describe_worker(number: int) -> WorkerDescription:
    """Return the description of one worker."""
    return WorkerDescription(
        worker=WorkerId(f'worker-{number}'),
        domain=DOMAIN,
        rack=RackId(f'rack-{number // WORKERS_PER_RACK}'),
        accelerators=8,
        cores=32,
        memory_mb=65_536,
    )


def make_configuration() -> bytes:
    """Return the encoded configuration."""
    contract = Contract(organisation=ORGANISATION, token_sha256=())
    return encode_configuration(
        Configuration(
            1, {ORGANISATION: contract}, {DOMAIN: DomainState.IN_SERVICE}
        )
    )


def make_record(number: int) -> JobRecord:
    """Return the record of one job, a gang that runs for an hour."""
    return JobRecord(
        job=JobId(f'job-{number}'),
        organisation=ORGANISATION,
        spec=JobSpec(
            kind='review',
            tasks=GANG_TASKS,
            accelerators_per_task=0,
            payload=msgspec.json.encode({'run_ms': 3_600_000}).decode(),
        ),
        state=JobState.QUEUED,
        domain=DOMAIN,
        accepted_unix_ms=number,
    )


def host_routes(
    name: str, port: int, routes: list[web.RouteDef]
) -> HostedServer:
    """Return a stand-in server without injected faults."""
    return HostedServer(name, port, routes, FaultInjector())

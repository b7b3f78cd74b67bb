"""Measures encoded sizes of messages and records at the two-year target."""

import hashlib
from typing import NamedTuple

import msgspec

from bulrushcove.configuration import Configuration
from bulrushcove.configuration_codec import encode_configuration
from bulrushcove.contract import Contract, GuaranteedShape
from bulrushcove.job import Attempt, JobRecord, JobSpec, WorkerPlacement
from bulrushcove.messages import DomainView, Heartbeat
from bulrushcove.states import DomainState, JobState
from bulrushcove.wire import encode
from dev.capacity_target import DOMAINS, ORGANISATIONS

GANG_WORKERS = 8
GANG_TASKS = 64
DOMAIN_NAMES = tuple(f'domain-{number}' for number in range(DOMAINS))


class Sizes(NamedTuple):
    """Encoded size of one of each, in bytes."""

    configuration: int
    heartbeat: int
    job_record: int


def measure_sizes() -> Sizes:
    """Encode one of each as the daemons do and return the sizes."""
    return Sizes(
        configuration=len(encode_configuration(_make_configuration())),
        heartbeat=len(encode(_make_heartbeat())),
        job_record=len(msgspec.msgpack.encode(_make_record())),
    )


def _make_configuration() -> Configuration:
    contracts = {
        f'organisation-{number}': Contract(
            organisation=f'organisation-{number}',
            token_sha256=(_digest(number),),
            guaranteed=(GuaranteedShape(8), GuaranteedShape(4, count=2)),
            spare_domain=DOMAIN_NAMES[0],
        )
        for number in range(ORGANISATIONS)
    }
    return Configuration(
        1, contracts, dict.fromkeys(DOMAIN_NAMES, DomainState.IN_SERVICE)
    )


def _digest(number: int) -> str:
    return hashlib.sha256(str(number).encode()).hexdigest()


def _make_heartbeat() -> Heartbeat:
    views = tuple(
        DomainView(name, 'entry-1', *range(1, 10), age_ms=500)
        for name in DOMAIN_NAMES
    )
    return Heartbeat('entry-1', 'f' * 32, 1, 500, views)


def _make_record() -> JobRecord:
    tasks_per_worker = GANG_TASKS // GANG_WORKERS
    placement = tuple(
        WorkerPlacement(
            f'worker-{number}',
            tuple(
                range(
                    number * tasks_per_worker, (number + 1) * tasks_per_worker
                )
            ),
        )
        for number in range(GANG_WORKERS)
    )
    return JobRecord(
        job='organisation-1/job-000001',
        organisation='organisation-1',
        spec=JobSpec(kind='boiler-review', tasks=GANG_TASKS),
        state=JobState.RUNNING,
        domain=DOMAIN_NAMES[0],
        accepted_unix_ms=1,
        spec_sha256='f' * 64,
        current=Attempt('organisation-1/job-000001.1.1', 1, placement),
        traceparent='f' * 55,
    )

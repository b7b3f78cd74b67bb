"""Work that callers offer, drawn from a seed; no I/O."""

import random

import msgspec

from bulrushcove.ids import OrganisationId, RequestId
from bulrushcove.job import JobSpec
from bulrushcove.states import Adjacency, Urgency
from dev.standins.simulated_task import Payload
from dev.workload.organisations import ORGANISATIONS

URGENT_SHARE = 0.3
IDEMPOTENT_SHARE = 0.6
# Share of the requests that arrive in bursts.
BURST_SHARE = 0.3
BURST_PERIOD_S = 5.0
BURST_LENGTH_S = 0.2
URGENT_SERVICE_MS = (5, 40)
NORMAL_SERVICE_MS = (20, 200)
MAX_ANSWER_BYTES = 20_000
RUN_MS = (500, 4000)
# Declared run times are off by up to this factor in both directions.
MAX_DECLARED_ERROR = 10
NOTE_CHARACTERS = 32


class OfferedRequest(msgspec.Struct, frozen=True):
    """A request and the time at which its caller sends it."""

    at_s: float
    organisation: OrganisationId
    request: RequestId
    idempotent: bool
    urgency: Urgency
    body: bytes
    answer_bytes: int


class OfferedJob(msgspec.Struct, frozen=True):
    """A job and the time at which its caller sends it."""

    at_s: float
    organisation: OrganisationId
    job: str
    spec: JobSpec
    expected_results: tuple[str, ...]


class Shape(msgspec.Struct, frozen=True):
    """Size of an offered job."""

    tasks: int
    accelerators_per_task: int
    adjacency: Adjacency


SHAPES = (
    Shape(1, 1, Adjacency.WORKER),
    Shape(1, 4, Adjacency.WORKER),
    Shape(1, 8, Adjacency.WORKER),
    Shape(4, 1, Adjacency.WORKER),
    Shape(2, 8, Adjacency.RACK),
    Shape(4, 4, Adjacency.RACK),
    Shape(8, 2, Adjacency.DOMAIN),
)


def offer_requests(
    chooser: random.Random, count: int, period_s: float
) -> list[OfferedRequest]:
    """Return ``count`` requests over ``period_s`` in the order of time."""
    offered = [
        _offer_request(chooser, number, period_s) for number in range(count)
    ]
    return sorted(offered, key=_request_at_s)


def offer_jobs(
    chooser: random.Random, count: int, period_s: float
) -> list[OfferedJob]:
    """Return ``count`` jobs over ``period_s`` in the order of time."""
    offered = [_offer_job(chooser, number, period_s) for number in range(count)]
    return sorted(offered, key=_job_at_s)


def _offer_request(
    chooser: random.Random, number: int, period_s: float
) -> OfferedRequest:
    urgent = chooser.random() < URGENT_SHARE
    service_ms = URGENT_SERVICE_MS if urgent else NORMAL_SERVICE_MS
    answer_bytes = chooser.randint(0, MAX_ANSWER_BYTES)
    body = {
        'service_ms': chooser.randint(*service_ms),
        'answer_bytes': answer_bytes,
        'note': chooser.randbytes(NOTE_CHARACTERS // 2).hex(),
    }
    return OfferedRequest(
        at_s=_arrival_s(chooser, period_s),
        organisation=chooser.choice(ORGANISATIONS).organisation,
        request=RequestId(f'request-{number}'),
        idempotent=chooser.random() < IDEMPOTENT_SHARE,
        urgency=Urgency.URGENT if urgent else Urgency.NORMAL,
        body=msgspec.json.encode(body),
        answer_bytes=answer_bytes,
    )


def _arrival_s(chooser: random.Random, period_s: float) -> float:
    at_s = chooser.uniform(0, period_s)
    if chooser.random() < BURST_SHARE:
        burst_s = at_s - at_s % BURST_PERIOD_S
        return burst_s + chooser.uniform(0, BURST_LENGTH_S)
    return at_s


def _offer_job(
    chooser: random.Random, number: int, period_s: float
) -> OfferedJob:
    shape = chooser.choice(SHAPES)
    run_ms = chooser.randint(*RUN_MS)
    error = MAX_DECLARED_ERROR ** chooser.uniform(-1, 1)
    job = f'job-{number}'
    payload = Payload(run_ms=run_ms, result=f'result of {job}')
    spec = JobSpec(
        kind='boiler-review',
        tasks=shape.tasks,
        accelerators_per_task=shape.accelerators_per_task,
        adjacency=shape.adjacency,
        idempotent=chooser.random() < IDEMPOTENT_SHARE,
        urgency=chooser.choice(tuple(Urgency)),
        declared_run_ms=int(run_ms * error),
        payload=msgspec.json.encode(payload).decode(),
    )
    return OfferedJob(
        at_s=chooser.uniform(0, period_s),
        organisation=chooser.choice(ORGANISATIONS).organisation,
        job=job,
        spec=spec,
        expected_results=(payload.result,) * shape.tasks,
    )


def _request_at_s(offered: OfferedRequest) -> float:
    return offered.at_s


def _job_at_s(offered: OfferedJob) -> float:
    return offered.at_s

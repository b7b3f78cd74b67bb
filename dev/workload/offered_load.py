"""Generates the requests and jobs that callers offer from a seed; no I/O."""

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
URGENT_SERVICE_MS_RANGE = (5, 40)
NORMAL_SERVICE_MS_RANGE = (20, 200)
MAX_ANSWER_BYTES = 20_000
RUN_MS_RANGE = (500, 4000)
# Declared run times are up to this factor too long or too short.
MAX_DECLARED_FACTOR = 10
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


class JobShape(msgspec.Struct, frozen=True):
    """Task count, accelerators and adjacency of an offered job."""

    tasks: int
    accelerators_per_task: int
    adjacency: Adjacency


JOB_SHAPES = (
    JobShape(1, 1, Adjacency.WORKER),
    JobShape(1, 4, Adjacency.WORKER),
    JobShape(1, 8, Adjacency.WORKER),
    JobShape(4, 1, Adjacency.WORKER),
    JobShape(2, 8, Adjacency.RACK),
    JobShape(4, 4, Adjacency.RACK),
    JobShape(8, 2, Adjacency.DOMAIN),
)


def generate_requests(
    rng: random.Random, count: int, period_s: float
) -> list[OfferedRequest]:
    """Return ``count`` requests over ``period_s``, sorted by time."""
    offered = [
        _generate_request(rng, number, period_s) for number in range(count)
    ]
    return sorted(offered, key=_request_at_s)


def generate_jobs(
    rng: random.Random, count: int, period_s: float
) -> list[OfferedJob]:
    """Return ``count`` jobs over ``period_s``, sorted by time."""
    offered = [_generate_job(rng, number, period_s) for number in range(count)]
    return sorted(offered, key=_job_at_s)


def _generate_request(
    rng: random.Random, number: int, period_s: float
) -> OfferedRequest:
    urgent = rng.random() < URGENT_SHARE
    service_ms = URGENT_SERVICE_MS_RANGE if urgent else NORMAL_SERVICE_MS_RANGE
    answer_bytes = rng.randint(0, MAX_ANSWER_BYTES)
    body = {
        'service_ms': rng.randint(*service_ms),
        'answer_bytes': answer_bytes,
        'note': rng.randbytes(NOTE_CHARACTERS // 2).hex(),
    }
    return OfferedRequest(
        at_s=_draw_arrival_s(rng, period_s),
        organisation=rng.choice(ORGANISATIONS).organisation,
        request=RequestId(f'request-{number}'),
        idempotent=rng.random() < IDEMPOTENT_SHARE,
        urgency=Urgency.URGENT if urgent else Urgency.NORMAL,
        body=msgspec.json.encode(body),
        answer_bytes=answer_bytes,
    )


def _draw_arrival_s(rng: random.Random, period_s: float) -> float:
    at_s = rng.uniform(0, period_s)
    if rng.random() < BURST_SHARE:
        burst_s = at_s - at_s % BURST_PERIOD_S
        return burst_s + rng.uniform(0, BURST_LENGTH_S)
    return at_s


def _generate_job(
    rng: random.Random, number: int, period_s: float
) -> OfferedJob:
    shape = rng.choice(JOB_SHAPES)
    run_ms = rng.randint(*RUN_MS_RANGE)
    declared_factor = MAX_DECLARED_FACTOR ** rng.uniform(-1, 1)
    job = f'job-{number}'
    payload = Payload(run_ms=run_ms, result=f'result of {job}')
    spec = JobSpec(
        kind='boiler-review',
        tasks=shape.tasks,
        accelerators_per_task=shape.accelerators_per_task,
        adjacency=shape.adjacency,
        idempotent=rng.random() < IDEMPOTENT_SHARE,
        urgency=rng.choice(tuple(Urgency)),
        declared_run_ms=int(run_ms * declared_factor),
        payload=msgspec.json.encode(payload).decode(),
    )
    return OfferedJob(
        at_s=rng.uniform(0, period_s),
        organisation=rng.choice(ORGANISATIONS).organisation,
        job=job,
        spec=spec,
        expected_results=(payload.result,) * shape.tasks,
    )


def _request_at_s(offered: OfferedRequest) -> float:
    return offered.at_s


def _job_at_s(offered: OfferedJob) -> float:
    return offered.at_s

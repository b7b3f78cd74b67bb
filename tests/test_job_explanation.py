import msgspec
import pytest

from bulrushcove.configuration import empty_configuration
from bulrushcove.configuration_changes import apply_contract, set_domain
from bulrushcove.contract import Contract, GuaranteedShape, JobLimits
from bulrushcove.job import Attempt, JobRecord, JobSpec, WorkerPlacement
from bulrushcove.job_explanation import explain
from bulrushcove.messages import ClusterView, DomainView
from bulrushcove.states import DomainState, JobState, Urgency

DOMAIN_VIEW = DomainView(
    domain='Luleå',
    control='entry-1',
    epoch=1,
    workers=2,
    usable_workers=2,
    free_accelerators=3,
    total_accelerators=16,
    largest_rack=16,
    largest_worker=8,
    queued_jobs=2,
    running_jobs=1,
)
VIEW = ClusterView((), (DOMAIN_VIEW,), (), True, {'Luleå': 200})
RECORD = JobRecord(
    'Bar/batch',
    'Bar',
    JobSpec('batch', tasks=4, accelerators_per_task=2),
    JobState.QUEUED,
    'Luleå',
    accepted_unix_ms=5,
)
ATTEMPT = Attempt(
    'a-1', 3, (WorkerPlacement('worker-1', (0, 1)),), borrowed=True
)


def make_configuration(state=DomainState.IN_SERVICE):
    contract = Contract('Bar', (), (GuaranteedShape(8),), jobs=JobLimits(10, 4))
    with_domain = set_domain(empty_configuration(), 'Luleå', state, 'a')
    return apply_contract(with_domain, contract, 'b')


def record_with(**changes):
    return msgspec.structs.replace(RECORD, **changes)


def test_explanation_of_a_queued_job():
    urgent = JobSpec('order', urgency=Urgency.URGENT)
    others = (
        RECORD,
        record_with(job='Café/1', accepted_unix_ms=1, spec=urgent),
        record_with(job='Bar/2', state=JobState.RUNNING, current=ATTEMPT),
        record_with(job='Bar/3', state=JobState.SUCCEEDED, current=ATTEMPT),
    )
    lines = explain(RECORD, make_configuration(), VIEW, others)
    assert lines == (
        "Job 'Bar/batch' of 'Bar' is queued in domain 'Luleå': 4 tasks with 2 "
        'accelerators each, within one domain, normal.',
        "It needs 8 accelerators; domain 'Luleå' has 3 of 16 free, and 2 jobs "
        'queued.',
        "1 queued jobs in domain 'Luleå' were accepted before it, 1 of them "
        'urgent.',
        'Its contract guarantees 8 accelerators and lets it borrow 4 more.',
        "'Bar' has 1 jobs placed on 8 accelerators now, 8 of them borrowed.",
    )


@pytest.mark.parametrize(
    ('record', 'view', 'state', 'line'),
    [
        (
            RECORD,
            VIEW,
            DomainState.OUT_OF_SERVICE,
            "domain 'Luleå' is not in service",
        ),
        (RECORD, None, DomainState.IN_SERVICE, 'not connected to its control'),
        (
            RECORD,
            msgspec.structs.replace(VIEW, permit_age_ms={}),
            DomainState.IN_SERVICE,
            'there is no start permit',
        ),
        (
            RECORD,
            msgspec.structs.replace(VIEW, domains=()),
            DomainState.IN_SERVICE,
            'No active control reports domain',
        ),
        (
            record_with(state=JobState.RUNNING, current=ATTEMPT, attempts=2),
            VIEW,
            DomainState.IN_SERVICE,
            "Attempt 'a-1' was placed on worker-1 (2 tasks)",
        ),
        (
            record_with(state=JobState.UNKNOWN),
            VIEW,
            DomainState.IN_SERVICE,
            'never started again',
        ),
        (
            record_with(
                state=JobState.UNRUNNABLE, reason='no rack is so large'
            ),
            VIEW,
            DomainState.IN_SERVICE,
            'Reason: no rack is so large.',
        ),
        (
            record_with(cancel_requested=True),
            VIEW,
            DomainState.IN_SERVICE,
            'cancellation was requested',
        ),
    ],
)
def test_explanation_names_special_conditions(record, view, state, line):
    assert line in ' '.join(explain(record, make_configuration(state), view))

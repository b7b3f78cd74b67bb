"""Each check accepts a valid history and reports an invalid one."""

import msgspec
import pytest

from bulrushcove.states import DomainState, JobState, Outcome
from dev.history.checker import CHECKS, check_history
from dev.history.events import (
    EventLog,
    RequestEvent,
    RequestStep,
    TaskEvent,
    TaskStep,
    read_events,
)
from dev.history.gangs import compute_longest_partial_s
from dev.history.records import (
    AcceptedRevision,
    BackendDrain,
    CallerJob,
    CallerRequest,
    DomainChange,
    History,
    IsolationProbe,
    ObservedRevision,
    PlannedStop,
)
from dev.history.runs import collect_part_runs


def task(at_s, step, part=0, attempt='a1', job='job-1'):
    return TaskEvent(
        at_s=at_s,
        step=TaskStep(step),
        worker=f'worker-{part}',
        domain='Guichón',
        organisation='planta',
        job=job,
        attempt=attempt,
        part=part,
        epoch=1,
    )


def request_event(at_s, step, request='r1'):
    return RequestEvent(
        at_s=at_s,
        step=RequestStep(step),
        backend='backend-1',
        domain='Guichón',
        organisation='planta',
        request=request,
    )


REQUEST = CallerRequest(
    organisation='planta',
    request='r1',
    vm='vm-1',
    sent_at_s=10,
    ended_at_s=11,
    idempotent=False,
    status=200,
    outcome=Outcome.RAN,
    body_matches=True,
)
JOB = CallerJob(
    organisation='planta',
    job='job-1',
    tasks=2,
    idempotent=False,
    sent_at_s=10,
    accepted=True,
    state=JobState.SUCCEEDED,
    results=('a', 'b'),
    expected_results=('a', 'b'),
    guaranteed=True,
)
COMPLETE_GANG = (
    task(11, 'start', 0),
    task(11.1, 'start', 1),
    task(20, 'finish', 0),
    task(50, 'finish', 1),
)
SINGLE_RUN = (request_event(10.1, 'arrive'), request_event(10.1, 'run'))
PROBE = IsolationProbe(
    requester='otra',
    target='job job-1',
    status=404,
    body='no such job',
    unknown_status=404,
    unknown_body='no such job',
    secrets=('planta',),
)
VALID_HISTORY = History(
    tasks=COMPLETE_GANG,
    requests=SINGLE_RUN,
    caller_requests=(REQUEST,),
    caller_jobs=(JOB,),
    domain_changes=(
        DomainChange(
            'Guichón', DomainState.OUT_OF_SERVICE, sent_at_s=1, accepted_at_s=2
        ),
        DomainChange(
            'Guichón', DomainState.IN_SERVICE, sent_at_s=9, accepted_at_s=9.5
        ),
    ),
    accepted_revisions=(AcceptedRevision(revision=2, accepted_at_s=2),),
    observed_revisions=(
        ObservedRevision(at_s=1, process='vm-1', revision=1),
        ObservedRevision(at_s=6, process='vm-1', revision=2),
    ),
    drains=(BackendDrain('backend-1', first_signal_at_s=1, returned_at_s=8),),
    stops=(PlannedStop('vm-1', at_s=10.5),),
    probes=(PROBE,),
)


def changed(struct, **changes):
    return msgspec.structs.replace(struct, **changes)


def with_job(**changes):
    return {'caller_jobs': (changed(JOB, **changes),)}


def with_request(**changes):
    return {'caller_requests': (changed(REQUEST, **changes),)}


REFUSED_REQUEST = changed(REQUEST, status=503, outcome=Outcome.NOT_RUN)
REFUSED_JOB_FIELDS = {
    'accepted': False,
    'state': None,
    'outcome': Outcome.NOT_RUN,
}
GANG_WITH_LOST_PART = (
    *COMPLETE_GANG[:2],
    task(12, 'lapse', 0),
    task(50, 'finish', 1),
)
GANG_WITHOUT_SECOND_PART = (task(11, 'start', 0), task(30, 'stop', 0))
GANG_WITH_TWO_ATTEMPTS = (
    *COMPLETE_GANG,
    task(60, 'start', 0, attempt='a2'),
    task(60, 'start', 1, attempt='a2'),
)
GANG_STARTED_LATE = (task(24, 'start', 0), task(26, 'start', 1))

INVALID_CASES = [
    ('guaranteed jobs start in time', {'tasks': ()}),
    ('guaranteed jobs start in time', {'tasks': GANG_STARTED_LATE}),
    ('no gang runs partially', {'tasks': GANG_WITH_LOST_PART}),
    ('no gang runs partially', {'tasks': GANG_WITHOUT_SECOND_PART}),
    ('no success with parts missing', {'tasks': GANG_WITH_LOST_PART}),
    ('no success with parts missing', {'tasks': ()}),
    (
        'no start in a domain out of service',
        {'tasks': (task(7.1, 'start'), *COMPLETE_GANG)},
    ),
    (
        'no start in a domain out of service',
        {'domain_changes': VALID_HISTORY.domain_changes[:1]},
    ),
    ('complete response to its own caller', with_request(body_matches=False)),
    (
        'nothing reported not-run has run',
        with_request(status=503, outcome=Outcome.NOT_RUN),
    ),
    ('nothing reported not-run has run', with_job(**REFUSED_JOB_FIELDS)),
    (
        # The first request ran; the retry was refused.
        'nothing reported not-run has run',
        {
            'caller_requests': (
                REQUEST,
                changed(REFUSED_REQUEST, sent_at_s=12, ended_at_s=13),
            )
        },
    ),
    (
        # Both requests were refused, and a run followed.
        'nothing reported not-run has run',
        {
            'caller_requests': (
                changed(REFUSED_REQUEST, sent_at_s=8, ended_at_s=9),
                changed(REFUSED_REQUEST, sent_at_s=9.2, ended_at_s=9.3),
            )
        },
    ),
    (
        'non-idempotent at most once',
        {'requests': (*SINGLE_RUN, request_event(20, 'run'))},
    ),
    ('non-idempotent at most once', {'tasks': GANG_WITH_TWO_ATTEMPTS}),
    (
        'no new request to a draining server',
        {'requests': (request_event(6.1, 'arrive'),)},
    ),
    (
        'no new request to a draining server',
        {'drains': (BackendDrain('backend-1', first_signal_at_s=1),)},
    ),
    (
        'planned stop interrupts no request',
        with_request(status=None, outcome=None),
    ),
    (
        'configuration never reverts',
        {
            'observed_revisions': (
                *VALID_HISTORY.observed_revisions,
                ObservedRevision(at_s=6.5, process='vm-1', revision=1),
            )
        },
    ),
    (
        'configuration in force in time',
        {
            'observed_revisions': (
                ObservedRevision(at_s=7.1, process='v', revision=1),
            )
        },
    ),
    (
        'organisations see only their own data',
        {'probes': (changed(PROBE, status=403),)},
    ),
    (
        'organisations see only their own data',
        {'probes': (changed(PROBE, body='belongs to planta'),)},
    ),
    ('accepted jobs are kept', with_job(state=JobState.RUNNING)),
    ('accepted jobs are kept', with_job(state=None)),
    ('accepted jobs are kept', with_job(results=('a',))),
    ('accepted jobs are kept', with_job(state=JobState.CANCELLED)),
    ('accepted jobs are kept', with_job(state=JobState.FAILED)),
    (
        'accepted jobs are kept',
        with_job(state=JobState.UNKNOWN, idempotent=True),
    ),
]


def test_valid_history_passes():
    assert check_history(VALID_HISTORY) == {}


@pytest.mark.parametrize(('name', 'changes'), INVALID_CASES)
def test_invalid_history_is_reported(name, changes):
    assert name in check_history(changed(VALID_HISTORY, **changes))


def test_each_check_has_an_invalid_history():
    assert {name for name, _ in INVALID_CASES} == set(CHECKS)


@pytest.mark.parametrize(
    'changes',
    [
        # Cancellation by the caller is a valid end.
        with_job(state=JobState.CANCELLED, cancelled=True),
        with_job(state=JobState.UNKNOWN),
        with_job(state=JobState.FAILED, may_fail=True),
        # A refused job has no result.
        with_job(**REFUSED_JOB_FIELDS, guaranteed=False) | {'tasks': ()},
        # An idempotent request may run more than once.
        with_request(idempotent=True)
        | {'requests': (*SINGLE_RUN, request_event(10.6, 'run'))},
        # Refused, then retried and run.
        {
            'caller_requests': (
                changed(REFUSED_REQUEST, sent_at_s=8, ended_at_s=9),
                REQUEST,
            )
        },
        # An error response has no body to compare.
        with_request(status=502, outcome=Outcome.UNKNOWN, body_matches=False),
    ],
)
def test_allowed_history_passes_its_checks(changes):
    assert check_history(changed(VALID_HISTORY, **changes)) == {}


def test_finished_parts_do_not_count_as_missing():
    assert compute_longest_partial_s(
        collect_part_runs(COMPLETE_GANG), 2
    ) == pytest.approx(0.1)
    assert compute_longest_partial_s(
        collect_part_runs(GANG_WITH_LOST_PART), 2
    ) == pytest.approx(38)


def test_events_are_read_back_in_order(tmp_path):
    later = task(5, 'start')
    earlier = request_event(4, 'run')
    for number, event in enumerate((later, earlier)):
        log = EventLog(tmp_path / f'{number}.jsonl')
        log.write(event)
        log.close()
    assert read_events(tmp_path.glob('*.jsonl')) == [earlier, later]

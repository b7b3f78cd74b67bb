"""Each check passes a good history and catches a bad one."""

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
WHOLE_GANG = (
    task(11, 'start', 0),
    task(11.1, 'start', 1),
    task(20, 'finish', 0),
    task(50, 'finish', 1),
)
RUN_ONCE = (request_event(10.1, 'arrive'), request_event(10.1, 'run'))
PROBE = IsolationProbe(
    requester='otra',
    target='job job-1',
    status=404,
    body='no such job',
    unknown_status=404,
    unknown_body='no such job',
    secrets=('planta',),
)
GOOD = History(
    tasks=WHOLE_GANG,
    requests=RUN_ONCE,
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


DENIAL = changed(REQUEST, status=503, outcome=Outcome.NOT_RUN)
REFUSED = {'accepted': False, 'state': None, 'outcome': Outcome.NOT_RUN}
LOST_PART = (*WHOLE_GANG[:2], task(12, 'lapse', 0), task(50, 'finish', 1))
NEVER_STARTED_PART = (task(11, 'start', 0), task(30, 'stop', 0))
SECOND_ATTEMPT = (
    *WHOLE_GANG,
    task(60, 'start', 0, attempt='a2'),
    task(60, 'start', 1, attempt='a2'),
)
LATE_GANG = (task(24, 'start', 0), task(26, 'start', 1))

BAD = [
    ('guaranteed shape reclaimed', {'tasks': ()}),
    ('guaranteed shape reclaimed', {'tasks': LATE_GANG}),
    ('no gang runs partially', {'tasks': LOST_PART}),
    ('no gang runs partially', {'tasks': NEVER_STARTED_PART}),
    ('no result from a part', {'tasks': LOST_PART}),
    ('no result from a part', {'tasks': ()}),
    (
        'no start in a domain taken out',
        {'tasks': (task(7.1, 'start'), *WHOLE_GANG)},
    ),
    (
        'no start in a domain taken out',
        {'domain_changes': GOOD.domain_changes[:1]},
    ),
    ('whole answer to its own caller', with_request(body_matches=False)),
    (
        'not-run is true',
        with_request(status=503, outcome=Outcome.NOT_RUN),
    ),
    ('not-run is true', with_job(**REFUSED)),
    (
        # It ran for the first sending; the second is refused.
        'not-run is true',
        {
            'caller_requests': (
                REQUEST,
                changed(DENIAL, sent_at_s=12, ended_at_s=13),
            )
        },
    ),
    (
        # Two refusals, and a run after them.
        'not-run is true',
        {
            'caller_requests': (
                changed(DENIAL, sent_at_s=8, ended_at_s=9),
                changed(DENIAL, sent_at_s=9.2, ended_at_s=9.3),
            )
        },
    ),
    (
        'non-idempotent at most once',
        {'requests': (*RUN_ONCE, request_event(20, 'run'))},
    ),
    ('non-idempotent at most once', {'tasks': SECOND_ATTEMPT}),
    (
        'nothing new to a leaving server',
        {'requests': (request_event(6.1, 'arrive'),)},
    ),
    (
        'nothing new to a leaving server',
        {'drains': (BackendDrain('backend-1', first_signal_at_s=1),)},
    ),
    (
        'planned stop cuts nothing',
        with_request(status=None, outcome=None),
    ),
    (
        'configuration never reverts',
        {
            'observed_revisions': (
                *GOOD.observed_revisions,
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
        'organisations see only their own',
        {'probes': (changed(PROBE, status=403),)},
    ),
    (
        'organisations see only their own',
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


def test_good_history_passes():
    assert check_history(GOOD) == {}


@pytest.mark.parametrize(('name', 'changes'), BAD)
def test_bad_history_is_caught(name, changes):
    assert name in check_history(changed(GOOD, **changes))


def test_each_check_has_a_bad_history():
    assert {name for name, _ in BAD} == set(CHECKS)


@pytest.mark.parametrize(
    'changes',
    [
        # A caller's cancellation is an end.
        with_job(state=JobState.CANCELLED, cancelled=True),
        with_job(state=JobState.UNKNOWN),
        with_job(state=JobState.FAILED, may_fail=True),
        # A refused job has no result.
        with_job(**REFUSED, guaranteed=False) | {'tasks': ()},
        # A retry of an idempotent request may run again.
        with_request(idempotent=True)
        | {'requests': (*RUN_ONCE, request_event(10.6, 'run'))},
        # Refused, then sent again and run.
        {
            'caller_requests': (
                changed(DENIAL, sent_at_s=8, ended_at_s=9),
                REQUEST,
            )
        },
        # An error answer has no body to compare.
        with_request(status=502, outcome=Outcome.UNKNOWN, body_matches=False),
    ],
)
def test_allowed_history_passes_its_checks(changes):
    assert check_history(changed(GOOD, **changes)) == {}


def test_partial_time_is_counted_without_finished_parts():
    assert compute_longest_partial_s(
        collect_part_runs(WHOLE_GANG), 2
    ) == pytest.approx(0.1)
    assert compute_longest_partial_s(
        collect_part_runs(LOST_PART), 2
    ) == pytest.approx(38)


def test_events_are_read_back_in_order(tmp_path):
    later = task(5, 'start')
    earlier = request_event(4, 'run')
    for number, event in enumerate((later, earlier)):
        log = EventLog(tmp_path / f'{number}.jsonl')
        log.write(event)
        log.close()
    assert read_events(tmp_path.glob('*.jsonl')) == [earlier, later]

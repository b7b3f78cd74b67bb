"""Steps that only some workers may run, as the placement adviser says."""

import msgspec
import pytest
from batch_builders import Bench, entry, job_spec, step

from bulrushcove.batch.advice import MAX_ASKED, Advice, step_ref_of
from bulrushcove.batch.policy import Adviser

ADVISER = Adviser(decision_ms=200, per_worker_ms=10, validity_ms=3000)
VALIDITY_S = 3.0


def advised(name, *steps, **others):
    spec = job_spec(name, *steps, **others)
    terms = msgspec.structs.replace(spec.terms, needs_advice=True)
    return msgspec.structs.replace(spec, terms=terms)


def advise(bench, question, *allowed):
    advice = Advice({name: f'ticket-{name}' for name in allowed}, VALIDITY_S)
    bench.engine.tickets.record_advice(
        question, advice, bench.engine.workers, bench.now_s
    )


def bench_of(count=3):
    return Bench(*(entry(f'w{number}') for number in range(count)))


def test_nothing_is_started_before_the_adviser_has_spoken():
    bench = bench_of()
    bench.submit(advised('job'))
    plan = bench.plan()
    assert not plan.starts
    assert set(plan.advice_request.workers) == {'w0', 'w1', 'w2'}


def test_work_goes_where_it_is_allowed():
    bench = bench_of()
    bench.submit(advised('job', step(2, accelerators=8, is_gang=True)))
    advise(bench, bench.plan().advice_request, 'w1', 'w2')
    plan = bench.plan()
    assert {allocation.worker for allocation in plan.starts} == {'w1', 'w2'}
    worker = bench.engine.workers['w1']
    unit = plan.starts[0].unit
    find = bench.engine.tickets.find
    assert find(step_ref_of(unit), worker, bench.now_s) == 'ticket-w1'


def test_other_queues_do_not_wait_for_advice():
    bench = bench_of(1)
    bench.submit(advised('job'))
    bench.submit(job_spec('free'))
    assert {allocation.unit.job.id for allocation in bench.plan().starts} == {
        'free'
    }


def test_a_worker_that_is_not_allowed_is_not_asked_about_again():
    """The answer never changes, and each worker named costs time."""
    bench = bench_of()
    bench.submit(advised('job'))
    advise(bench, bench.plan().advice_request)
    assert bench.plan().advice_request is None


def test_allowed_workers_are_asked_about_first_when_tickets_lapse():
    bench = bench_of(MAX_ASKED + 5)
    bench.submit(advised('job', step(40, accelerators=8, is_gang=True)))
    unit = bench.engine.jobs['job'].units[0]
    first = bench.plan().advice_request
    assert len(first.workers) == MAX_ASKED
    allowed = first.workers[:2]
    advise(bench, first, *allowed)
    bench.advance(VALIDITY_S)
    question = bench.plan().advice_request
    assert question.workers[:2] == tuple(sorted(allowed))
    assert question.step == step_ref_of(unit)


@pytest.mark.parametrize('cause', ['lapsed', 'reborn', 'refused'])
def test_a_ticket_that_does_not_hold_is_not_used(cause):
    bench = bench_of(1)
    bench.submit(advised('job'))
    question = bench.plan().advice_request
    advise(bench, question, 'w0')
    if cause == 'lapsed':
        bench.advance(VALIDITY_S)
    elif cause == 'reborn':
        bench.report('w0', started_unix_ms=2)
    else:
        bench.engine.tickets.drop(question.step, 'w0')
    assert not bench.plan().starts


def test_the_most_urgent_step_is_asked_about_first():
    bench = bench_of()
    bench.submit(advised('slow', priority=2))
    bench.submit(advised('urgent', priority=0))
    assert bench.plan().advice_request.step.job == 'urgent'


def test_the_wait_for_an_answer_follows_the_workers_named():
    bench = bench_of()
    job = bench.submit(advised('job'))
    workers = bench.engine.workers.values()
    question = bench.engine.tickets.next_request(
        job.units[0], ADVISER, workers, bench.now_s
    )
    assert question.expected_duration_s == pytest.approx(0.23)

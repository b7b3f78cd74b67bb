"""When callers are told to come back, and what is refused for good."""

import msgspec
import pytest
from batch_builders import Bench, entry, job_spec, step

from bulrushcove.batch.admission import (
    MAX_OUTAGE_RETRY_S,
    UNPLACEABLE_RETRY_S,
    outage_retry_s,
)
from bulrushcove.batch.exceptions import JobRefusedError
from bulrushcove.batch.runtime_estimates import RuntimeEstimates

# Tries of a caller: the first one and its retries, as users state them.
TRIES = 5


def urgent():
    spec = job_spec('urgent', step(estimated_ms=2500), priority=0)
    return retermed(spec, stretch=1.5, target_ms=600)


def patient():
    return job_spec('patient', step(estimated_ms=8500))


def retermed(spec, **terms):
    changed = msgspec.structs.replace(spec.terms, **terms)
    return msgspec.structs.replace(spec, terms=changed)


def last_try_s(spec, noticed_s=0.4):
    """Return when a caller that comes at the outage's begin tries last."""
    tries_s = [noticed_s]
    while len(tries_s) < TRIES:
        wait_s = outage_retry_s(spec, RuntimeEstimates(), tries_s[-1])
        tries_s.append(tries_s[-1] + wait_s)
    return tries_s[-1]


def test_a_patient_job_outlasts_an_outage_of_nine_seconds():
    """With a second between tries all were used up after five seconds."""
    assert last_try_s(patient()) > 9


@pytest.mark.parametrize('lasted_s', [0.5, 2, 4, 9])
def test_an_urgent_job_comes_back_before_it_is_late(lasted_s):
    slack_s = 0.5 * 2.5 + 0.6
    wait_s = outage_retry_s(urgent(), RuntimeEstimates(), lasted_s)
    assert wait_s <= max(1, slack_s)


def test_the_wait_is_bounded():
    wait_s = outage_retry_s(patient(), RuntimeEstimates(), 100)
    assert wait_s == MAX_OUTAGE_RETRY_S


def test_a_size_that_no_worker_has_is_refused():
    bench = Bench(entry('w1', accelerators=4))
    with pytest.raises(JobRefusedError) as refused:
        bench.submit(job_spec('job', step(accelerators=8)))
    assert refused.value.retry_after_s == UNPLACEABLE_RETRY_S

"""Log lines and gauges of what organisations have, may have and wait for."""

import logging

import msgspec
import pytest
from batch_builders import Bench, entry, job_spec, step

from bulrushcove.batch.job_spec import TaskSize
from bulrushcove.batch.policy import Organisation
from bulrushcove.ids import OrganisationId
from bulrushcove.node.organisation_reports import (
    REPORT_INTERVAL_S,
    OrganisationReports,
)


@pytest.fixture(name='bench')
def make_bench():
    """Return a full bench: one organisation waits for its limit."""
    bench = Bench(entry('w1'))
    policy = msgspec.structs.replace(
        bench.engine.desired_state.policy,
        organisations=(
            Organisation(
                name=OrganisationId('mill'),
                limit=TaskSize(0, 0, 3),
                weight=3.0,
            ),
            Organisation(name=OrganisationId('quarry'), weight=1.0),
        ),
    )
    bench.engine.desired_state = msgspec.structs.replace(
        bench.engine.desired_state, policy=policy
    )
    bench.submit(job_spec('j1', step(5)))
    bench.submit(job_spec('j2', step(9), organisation=OrganisationId('quarry')))
    bench.start_all()
    return bench


def test_it_tells_what_waits_for_the_limit_and_what_for_room(bench):
    mill, quarry = OrganisationReports().take(bench.engine, 1.0)

    assert (mill.used.accelerators, mill.limit.accelerators) == (3, 3)
    assert (mill.waiting_for_limit, mill.waiting_for_room) == (2, 0)
    assert (quarry.waiting_for_limit, quarry.waiting_for_room) == (0, 4)
    assert (mill.share_percent, quarry.share_percent) == (75, 25)


def test_a_line_is_logged_on_change_at_most_once_a_second(bench, caplog):
    caplog.set_level(logging.INFO, 'bulrushcove')
    reports = OrganisationReports()
    reports.take(bench.engine, 1.0)
    first = len(caplog.records)

    assert not reports.take(bench.engine, 1.0 + REPORT_INTERVAL_S / 2)
    assert reports.take(bench.engine, 1.0 + REPORT_INTERVAL_S)

    assert first == 2
    assert len(caplog.records) == first


def test_nothing_is_reported_without_limits_and_weights(bench):
    engine = bench.engine
    policy = msgspec.structs.replace(
        engine.desired_state.policy,
        organisations=(Organisation(name=OrganisationId('mill')),),
    )
    engine.desired_state = msgspec.structs.replace(
        engine.desired_state, policy=policy
    )

    assert not OrganisationReports().take(engine, 1.0)

"""Without start permits the checks find a violation, as they must."""

import asyncio

from bulrushcove.states import DomainState
from dev.history.bounds import START_AFTER_TAKE_OUT_S
from dev.history.checker import check_history
from tests import process_tools as tools

# Longer than the test, so that only peers report changes.
POLL_MS = 60_000
NEVER_MS = 3_600_000
# Enough to keep both workers of a domain busy past the time limit.
JOBS = 66


async def test_starts_continue_without_start_permits():
    """Permits never expire; neither polls nor peers report the take-out."""
    with tools.launched_cluster(
        poll_ms=POLL_MS, start_permit_ttl_ms=NEVER_MS
    ) as cluster:
        async with tools.new_run(cluster, 'unprotected') as run:
            for other_domain in (tools.FRAY_BENTOS, tools.CENTENARIO):
                cluster.cut(tools.GUICHON, other_domain)
            offered_jobs = [
                run.offer_job(300, accelerators_per_task=8) for _ in range(JOBS)
            ]
            running = [
                asyncio.create_task(run.run_job(offered_job))
                for offered_job in offered_jobs
            ]
            await asyncio.sleep(0.5)
            await run.operator.set_domain(
                tools.GUICHON, DomainState.OUT_OF_SERVICE
            )
            await asyncio.sleep(START_AFTER_TAKE_OUT_S + 3)
            history = run.collect_history()
            for task in running:
                task.cancel()
    violations = check_history(history)
    assert 'no start in a domain out of service' in violations

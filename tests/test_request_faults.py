"""Fault injection test of requests, on real processes."""

import asyncio
import random
import signal
import time

import aiohttp
import msgspec
import pytest

from bulrushcove.request_head import RETRY_HEADER
from bulrushcove.states import DomainState, Outcome
from dev.history.answers import find_wrong_answers
from dev.history.at_most_once import find_repeated_runs
from dev.history.bounds import REVISION_SPREAD_S
from dev.history.events import RequestEvent
from dev.history.not_run import find_false_not_run
from dev.history.records import History
from dev.launcher import SMALL_SIZE, LaunchOptions, entry_name, launched
from dev.standins.faults import Faults
from dev.workload.callers import Callers
from dev.workload.offered_load import generate_requests
from dev.workload.operator_client import OperatorClient
from dev.workload.organisations import ORGANISATIONS

REQUESTS = 300
LOAD_S = 6.0
MAX_ATTEMPTS = 3
SEED = 5


class RetryingCallers(Callers):
    """Callers that retry a request while its outcome is unknown."""

    async def send_until_known(self, offered):
        """Send a request until its outcome is known; return all attempts."""
        attempts = []
        for _ in range(MAX_ATTEMPTS):
            attempts.append(await self.send_request(offered))
            if (
                attempts[-1].is_served
                or attempts[-1].outcome is Outcome.NOT_RUN
            ):
                break
            await asyncio.sleep(0.2)
        return attempts


class RetryHeader:
    """Middleware that adds the retry header to ids that were sent before."""

    def __init__(self):
        self.sent = set()

    async def __call__(self, request, handler):
        name = request.headers.get('X-Bulrushcove-Request')
        if name in self.sent:
            request.headers[RETRY_HEADER] = 'true'
        self.sent.add(name)
        return await handler(request)


async def _inject_faults(cluster):
    """Inject one fault after the other during the load."""
    backends = [
        backend.backend
        for plan in cluster.topology.domains
        for backend in plan.backends
    ]
    run_only = {'path_prefix': '/v1/run'}
    cluster.put_faults(
        backends[0], Faults(effect_without_answer=True, **run_only)
    )
    cluster.put_faults(backends[1], Faults(cut=True, **run_only))
    await asyncio.sleep(1)
    cluster.put_faults(backends[2], Faults(silence_connections=True))
    cluster.put_faults('platform', Faults(effect_without_answer=True))
    await asyncio.sleep(0.5)
    cluster.put_faults('platform', Faults())
    await asyncio.sleep(0.5)
    killed = cluster.entry_vms[0].vm
    cluster.kill(entry_name(killed))
    cluster.put_faults('platform', Faults(down=True))
    cluster.put_faults(backends[3], Faults(late_ms=700, **run_only))
    await asyncio.sleep(1)
    cluster.put_faults('platform', Faults())
    cluster.processes.signal(
        entry_name(cluster.entry_vms[1].vm), signal.SIGSTOP
    )
    await asyncio.sleep(1)
    cluster.processes.signal(
        entry_name(cluster.entry_vms[1].vm), signal.SIGCONT
    )
    for backend in backends:
        cluster.put_faults(backend, Faults())


async def _run(cluster):
    """Run the load under faults and return its history."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        connector=connector, middlewares=(RetryHeader(),)
    ) as session:
        operator = OperatorClient(session, cluster.entry_vms)
        for plan in cluster.topology.domains:
            await operator.set_domain(
                plan.size.domain, DomainState.IN_SERVICE, force=True
            )
        for organisation in ORGANISATIONS:
            free = msgspec.structs.replace(organisation, guaranteed=())
            await operator.apply_contract(free.contract)
        await operator.wait_in_force(REVISION_SPREAD_S)
        callers = RetryingCallers(
            session,
            {
                listed_organisation.organisation: listed_organisation.token
                for listed_organisation in ORGANISATIONS
            },
            cluster.entry_vms,
            random.Random(SEED),
        )
        attempts = await _offer(callers, cluster)
    events = tuple(
        event for event in cluster.events() if isinstance(event, RequestEvent)
    )
    return History(requests=events, caller_requests=tuple(attempts))


async def _offer(callers, cluster):
    start_s = time.monotonic()

    async def send(offered):
        await asyncio.sleep(start_s + offered.at_s - time.monotonic())
        return await callers.send_until_known(offered)

    requests = generate_requests(random.Random(SEED), REQUESTS, LOAD_S)
    sending = [asyncio.create_task(send(offered)) for offered in requests]
    await _inject_faults(cluster)
    return [
        attempt
        for attempts in await asyncio.gather(*sending)
        for attempt in attempts
    ]


@pytest.fixture(scope='module')
def history():
    with launched(LaunchOptions(sizes=SMALL_SIZE)) as cluster:
        return asyncio.run(_run(cluster))


def test_faults_cause_unknown_and_refused_requests(history):
    """The faults had an effect, and most requests were served."""
    outcomes = {attempt.outcome for attempt in history.caller_requests}
    assert outcomes >= {Outcome.RAN, Outcome.NOT_RUN, Outcome.UNKNOWN}
    served = sum(attempt.is_served for attempt in history.caller_requests)
    assert served > REQUESTS / 2


@pytest.mark.parametrize(
    'check', [find_wrong_answers, find_false_not_run, find_repeated_runs]
)
def test_guarantees_hold_under_faults(history, check):
    assert check(history) == []

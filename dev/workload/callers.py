"""Callers: send offered work to entry VMs and record what they saw."""

import asyncio
import random
import time
from collections.abc import Mapping, Sequence

import aiohttp
import msgspec

from bulrushcove.ids import OrganisationId, VmId
from bulrushcove.job_messages import JobAnswer, stored_job_id
from bulrushcove.refusals import OUTCOME_HEADER, RefusalBody
from bulrushcove.request_head import (
    DEADLINE_HEADER,
    IDEMPOTENT_HEADER,
    REQUEST_HEADER,
    URGENCY_HEADER,
)
from bulrushcove.states import JobState, Outcome
from dev.history.records import CallerJob, CallerRequest
from dev.launch.topology import EntryVm
from dev.standins.answers import answer_body
from dev.workload.offer import OfferedJob, OfferedRequest

DEADLINE_MS = 15_000
CALL_TIMEOUT_S = 25
RESULT_WAIT_MS = 5000
SUBMIT_TRIES = 5
RETRY_PAUSE_S = 0.5
OK = 200
CREATED = 201
FIRST_ERROR = 400
LOST = (aiohttp.ClientError, OSError)


class Callers:
    """Callers of all organisations, behind a balancer that draws lots."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        tokens: Mapping[OrganisationId, str],
        entry_vms: Sequence[EntryVm],
        chooser: random.Random,
    ) -> None:
        """Send to any of ``entry_vms``."""
        # VMs that the balancer sends nothing to.
        self.avoided: set[VmId] = set()
        self._session = session
        self._tokens = tokens
        self._entry_vms = entry_vms
        self._chooser = chooser

    async def send_request(
        self, offered: OfferedRequest, vm: EntryVm | None = None
    ) -> CallerRequest:
        """Send one request and return what its caller saw."""
        chosen = vm or self.choose_vm()
        sent_s = time.monotonic()
        try:
            answer = await self._post_request(offered, chosen)
        except LOST:
            answer = None
        seen = CallerRequest(
            organisation=offered.organisation,
            request=offered.request,
            vm=chosen.vm,
            sent_s=sent_s,
            ended_s=time.monotonic(),
            idempotent=offered.idempotent,
            urgency=offered.urgency,
        )
        if answer is None:
            return seen
        return _with_answer(seen, offered, answer)

    async def run_job(self, offered: OfferedJob, until_s: float) -> CallerJob:
        """Submit a job and wait for its end or until ``until_s``."""
        seen = CallerJob(
            organisation=offered.organisation,
            job=stored_job_id(offered.organisation, offered.job),
            tasks=offered.spec.tasks,
            idempotent=offered.spec.idempotent,
            sent_s=time.monotonic(),
            accepted=False,
            expected_results=offered.expected_results,
        )
        refusal = await self._submit(offered)
        if refusal is not None:
            return msgspec.structs.replace(
                seen, outcome=refusal.outcome, message=refusal.message
            )
        seen = msgspec.structs.replace(seen, accepted=True)
        while time.monotonic() < until_s:
            answer = await self._ask_result(offered)
            if answer is not None:
                seen = msgspec.structs.replace(
                    seen,
                    state=answer.state,
                    results=answer.results,
                    ended_s=time.monotonic(),
                )
            if answer is not None and answer.state.is_final:
                break
        return seen

    async def cancel_job(self, offered: OfferedJob) -> JobState | None:
        """Ask for the cancellation of a job; returns its state."""
        path = f'/v1/jobs/{offered.job}/cancel'
        answer = await self.call('POST', path, offered.organisation)
        if answer.status != OK:
            return None
        return msgspec.json.decode(answer.body, type=JobAnswer).state

    async def call(
        self,
        method: str,
        path: str,
        organisation: OrganisationId,
        body: bytes | None = None,
    ) -> 'Answer':
        """Call any entry VM as ``organisation``; raises when it is lost."""
        headers = self._authorization(organisation)
        async with self._session.request(
            method,
            f'{self.choose_vm().url}{path}',
            data=body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
        ) as response:
            return await _read(response)

    def choose_vm(self) -> EntryVm:
        """Return the entry VM that the balancer sends the next call to."""
        open_vms = [vm for vm in self._entry_vms if vm.vm not in self.avoided]
        return self._chooser.choice(open_vms)

    async def _post_request(
        self, offered: OfferedRequest, vm: EntryVm
    ) -> 'Answer':
        headers = {
            **self._authorization(offered.organisation),
            REQUEST_HEADER: offered.request,
            IDEMPOTENT_HEADER: 'true' if offered.idempotent else 'false',
            URGENCY_HEADER: offered.urgency.value,
            DEADLINE_HEADER: str(DEADLINE_MS),
        }
        async with self._session.post(
            f'{vm.url}/v1/requests',
            data=offered.body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
        ) as response:
            return await _read(response)

    async def _submit(self, offered: OfferedJob) -> 'Answer | None':
        """Submit until the answer is known; returns a refusal."""
        body = msgspec.json.encode({'job': offered.job, 'spec': offered.spec})
        answer = Answer(status=0, body=b'', outcome=Outcome.UNKNOWN)
        for _ in range(SUBMIT_TRIES):
            try:
                answer = await self.call(
                    'POST', '/v1/jobs', offered.organisation, body
                )
            except LOST:
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if answer.status in {OK, CREATED}:
                return None
            if answer.outcome is Outcome.NOT_RUN:
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        return answer

    async def _ask_result(self, offered: OfferedJob) -> JobAnswer | None:
        path = f'/v1/jobs/{offered.job}/result?wait_ms={RESULT_WAIT_MS}'
        try:
            answer = await self.call('GET', path, offered.organisation)
        except LOST:
            answer = None
        if answer is None or answer.status != OK:
            await asyncio.sleep(RETRY_PAUSE_S)
            return None
        return msgspec.json.decode(answer.body, type=JobAnswer)

    def _authorization(self, organisation: OrganisationId) -> dict[str, str]:
        return {'Authorization': f'Bearer {self._tokens[organisation]}'}


class Answer(msgspec.Struct, frozen=True):
    """A whole answer of an entry VM."""

    status: int
    body: bytes
    outcome: Outcome | None

    @property
    def message(self) -> str:
        """Return why it was refused; empty for a success."""
        if self.outcome is Outcome.RAN or self.status < FIRST_ERROR:
            return ''
        try:
            refusal = msgspec.json.decode(self.body, type=RefusalBody)
        except msgspec.DecodeError:
            return f'status {self.status} without a typed body'
        return refusal.message


async def _read(response: aiohttp.ClientResponse) -> Answer:
    body = await response.read()
    outcome = response.headers.get(OUTCOME_HEADER)
    return Answer(response.status, body, Outcome(outcome) if outcome else None)


def _with_answer(
    seen: CallerRequest, offered: OfferedRequest, answer: Answer
) -> CallerRequest:
    own = answer_body(
        offered.organisation,
        offered.request,
        offered.body,
        offered.answer_bytes,
    )
    return msgspec.structs.replace(
        seen,
        status=answer.status,
        outcome=answer.outcome,
        body_matches=answer.body == own,
        message=answer.message,
    )

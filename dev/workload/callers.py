"""Sends offered requests and jobs to entry VMs and records the outcome."""

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
from dev.standins.response_body import make_response_body
from dev.workload.offered_load import OfferedJob, OfferedRequest

DEADLINE_MS = 15_000
CALL_TIMEOUT_S = 25
RESULT_WAIT_MS = 5000
SUBMIT_TRIES = 5
RETRY_PAUSE_S = 0.5
OK = 200
CREATED = 201
FIRST_ERROR = 400
CONNECTION_ERRORS = (aiohttp.ClientError, OSError)


class Callers:
    """Callers of all organisations behind a randomly choosing balancer."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        tokens: Mapping[OrganisationId, str],
        entry_vms: Sequence[EntryVm],
        rng: random.Random,
        deadline_ms: int = DEADLINE_MS,
    ) -> None:
        """Send calls to randomly chosen VMs of ``entry_vms``."""
        # VMs that the balancer does not choose.
        self.excluded_vms: set[VmId] = set()
        self._session = session
        self._tokens = tokens
        self._entry_vms = entry_vms
        self._rng = rng
        self._deadline_ms = deadline_ms

    async def send_request(
        self, offered: OfferedRequest, vm: EntryVm | None = None
    ) -> CallerRequest:
        """Send one request and return its record."""
        chosen = vm or self.choose_vm()
        sent_at_s = time.monotonic()
        try:
            response = await self._post_request(offered, chosen)
        except CONNECTION_ERRORS:
            response = None
        record = CallerRequest(
            organisation=offered.organisation,
            request=offered.request,
            vm=chosen.vm,
            sent_at_s=sent_at_s,
            ended_at_s=time.monotonic(),
            idempotent=offered.idempotent,
            urgency=offered.urgency,
        )
        if response is None:
            return record
        return _with_response(record, offered, response)

    async def run_job(
        self, offered: OfferedJob, deadline_s: float
    ) -> CallerJob:
        """Submit a job and poll its result until it ends or ``deadline_s``."""
        record = CallerJob(
            organisation=offered.organisation,
            job=stored_job_id(offered.organisation, offered.job),
            tasks=offered.spec.tasks,
            idempotent=offered.spec.idempotent,
            sent_at_s=time.monotonic(),
            accepted=False,
            expected_results=offered.expected_results,
        )
        refusal = await self._submit(offered)
        if refusal is not None:
            return msgspec.structs.replace(
                record, outcome=refusal.outcome, message=refusal.message
            )
        record = msgspec.structs.replace(record, accepted=True)
        while time.monotonic() < deadline_s:
            response = await self._request_result(offered)
            if response is not None:
                record = msgspec.structs.replace(
                    record,
                    state=response.state,
                    results=response.results,
                    ended_at_s=time.monotonic(),
                )
            if response is not None and response.state.is_final:
                break
        return record

    async def cancel_job(self, offered: OfferedJob) -> JobState | None:
        """Cancel a job and return its state; None if the call is refused."""
        path = f'/v1/jobs/{offered.job}/cancel'
        response = await self.call('POST', path, offered.organisation)
        if response.status != OK:
            return None
        return msgspec.json.decode(response.body, type=JobAnswer).state

    async def call(
        self,
        method: str,
        path: str,
        organisation: OrganisationId,
        body: bytes | None = None,
    ) -> 'EntryResponse':
        """Call any entry VM as ``organisation``.

        Raises ``CONNECTION_ERRORS`` without a response.
        """
        token = self._tokens[organisation]
        return await self.call_with_token(method, path, token, body)

    async def call_with_token(
        self, method: str, path: str, token: str, body: bytes | None = None
    ) -> 'EntryResponse':
        """Call any entry VM with ``token``.

        Raises ``CONNECTION_ERRORS`` without a response.
        """
        headers = {'Authorization': f'Bearer {token}'}
        async with self._session.request(
            method,
            f'{self.choose_vm().url}{path}',
            data=body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
        ) as response:
            return await _read(response)

    def choose_vm(self) -> EntryVm:
        """Return the entry VM that receives the next call."""
        available_vms = [
            vm for vm in self._entry_vms if vm.vm not in self.excluded_vms
        ]
        return self._rng.choice(available_vms)

    async def _post_request(
        self, offered: OfferedRequest, vm: EntryVm
    ) -> 'EntryResponse':
        headers = {
            **self._authorization(offered.organisation),
            REQUEST_HEADER: offered.request,
            IDEMPOTENT_HEADER: 'true' if offered.idempotent else 'false',
            URGENCY_HEADER: offered.urgency.value,
            DEADLINE_HEADER: str(self._deadline_ms),
        }
        async with self._session.post(
            f'{vm.url}/v1/requests',
            data=offered.body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
        ) as response:
            return await _read(response)

    async def _submit(self, offered: OfferedJob) -> 'EntryResponse | None':
        """Submit until the outcome is known; return a refusal, else None.

        After a try of unknown outcome, a refusal counts as unknown too: the
        write of the earlier try may still take effect.
        """
        body = msgspec.json.encode({'job': offered.job, 'spec': offered.spec})
        unknown: EntryResponse | None = None
        for _ in range(SUBMIT_TRIES):
            response = await self._try_submit(offered, body)
            if response.status in {OK, CREATED}:
                return None
            if response.outcome is Outcome.NOT_RUN:
                return unknown or response
            unknown = response
            await asyncio.sleep(RETRY_PAUSE_S)
        return unknown

    async def _try_submit(
        self, offered: OfferedJob, body: bytes
    ) -> 'EntryResponse':
        try:
            return await self.call(
                'POST', '/v1/jobs', offered.organisation, body
            )
        except CONNECTION_ERRORS:
            return EntryResponse(status=0, body=b'', outcome=Outcome.UNKNOWN)

    async def _request_result(self, offered: OfferedJob) -> JobAnswer | None:
        path = f'/v1/jobs/{offered.job}/result?wait_ms={RESULT_WAIT_MS}'
        try:
            response = await self.call('GET', path, offered.organisation)
        except CONNECTION_ERRORS:
            response = None
        if response is None or response.status != OK:
            await asyncio.sleep(RETRY_PAUSE_S)
            return None
        return msgspec.json.decode(response.body, type=JobAnswer)

    def _authorization(self, organisation: OrganisationId) -> dict[str, str]:
        return {'Authorization': f'Bearer {self._tokens[organisation]}'}


class EntryResponse(msgspec.Struct, frozen=True):
    """A complete response of an entry VM."""

    status: int
    body: bytes
    outcome: Outcome | None

    @property
    def message(self) -> str:
        """Return the reason of a refusal; empty for a success."""
        if self.outcome is Outcome.RAN or self.status < FIRST_ERROR:
            return ''
        try:
            refusal = msgspec.json.decode(self.body, type=RefusalBody)
        except msgspec.DecodeError:
            return f'status {self.status} without a refusal body'
        return refusal.message


async def _read(response: aiohttp.ClientResponse) -> EntryResponse:
    body = await response.read()
    outcome = response.headers.get(OUTCOME_HEADER)
    return EntryResponse(
        response.status, body, Outcome(outcome) if outcome else None
    )


def _with_response(
    record: CallerRequest, offered: OfferedRequest, response: EntryResponse
) -> CallerRequest:
    expected_body = make_response_body(
        offered.organisation,
        offered.request,
        offered.body,
        offered.answer_bytes,
    )
    return msgspec.structs.replace(
        record,
        status=response.status,
        outcome=response.outcome,
        body_matches=response.body == expected_body,
        message=response.message,
    )

"""Changes the configuration through entry VMs, as operators do."""

import asyncio
import time
import uuid
from collections.abc import Sequence

import aiohttp
import msgspec

from bulrushcove.contract import Contract
from bulrushcove.ids import DomainName, OperationId, VmId
from bulrushcove.operator_api import (
    CONTRACTS_PATH,
    DOMAINS_PATH,
    STATUS_PATH,
    ChangeOrder,
    ChangeResponse,
    ContractChange,
    StatusResponse,
)
from bulrushcove.operator_api import DomainChange as DomainOrder
from bulrushcove.states import DomainState
from dev.history.records import AcceptedRevision, DomainChange
from dev.launch.settings_file import OPERATOR_TOKEN
from dev.launch.topology import EntryVm

CALL_TIMEOUT_S = 10
OK = 200
MAX_TRIES = 4
POLL_PERIOD_S = 0.1


class OperatorError(Exception):
    """An operator's call failed or was refused, or a wait timed out."""


class OperatorClient:
    """Calls the entry VMs in order until one responds."""

    def __init__(
        self, session: aiohttp.ClientSession, entry_vms: Sequence[EntryVm]
    ) -> None:
        """Call ``entry_vms`` in this order."""
        self.accepted_revisions: list[AcceptedRevision] = []
        self.domain_changes: list[DomainChange] = []
        self._session = session
        self._entry_vms = list(entry_vms)

    async def apply_contract(self, contract: Contract) -> ChangeResponse:
        """Apply one contract."""
        change = ContractChange(order=_new_order(), contract=contract)
        path = f'{CONTRACTS_PATH}/{contract.organisation}'
        return await self._change(path, change)

    async def set_domain(
        self, domain: DomainName, state: DomainState, *, force: bool = False
    ) -> ChangeResponse:
        """Take a failure domain out of service or return it."""
        sent_at_s = time.monotonic()
        change = DomainOrder(order=_new_order(force=force), state=state)
        response = await self._change(f'{DOMAINS_PATH}/{domain}', change)
        self.domain_changes.append(
            DomainChange(
                domain=domain,
                state=state,
                sent_at_s=sent_at_s,
                accepted_at_s=time.monotonic(),
            )
        )
        return response

    async def status(self, vm: EntryVm | None = None) -> StatusResponse:
        """Return the status reported by ``vm``, else by any entry VM."""
        vms = [vm] if vm else self._entry_vms
        body = await self._call('GET', STATUS_PATH, None, vms)
        return msgspec.json.decode(body, type=StatusResponse)

    async def find_active_control(self, domain: DomainName) -> VmId:
        """Return the VM whose control is active for ``domain``.

        Raises ``OperatorError`` when no recent view names one.
        """
        for each in (await self.status()).domains:
            if each.domain == domain and each.view is not None:
                return each.view.control
        raise OperatorError(f'no active control of {domain} is known')

    async def wait_in_force(self, timeout_s: float) -> None:
        """Wait until every entry VM holds the last accepted revision.

        Raises ``OperatorError`` naming the first VM that is behind.
        """
        expected_revision = self.accepted_revisions[-1].revision
        deadline_s = time.monotonic() + timeout_s
        for vm in self._entry_vms:
            while (await self.status(vm)).revision < expected_revision:
                if time.monotonic() > deadline_s:
                    raise OperatorError(
                        f'{vm.vm} is behind revision {expected_revision}'
                    )
                await asyncio.sleep(POLL_PERIOD_S)

    async def _change(
        self, path: str, change: msgspec.Struct
    ) -> ChangeResponse:
        body = await self._call('PUT', path, change, self._entry_vms)
        response = msgspec.json.decode(body, type=ChangeResponse)
        accepted = AcceptedRevision(
            revision=response.revision, accepted_at_s=time.monotonic()
        )
        self.accepted_revisions.append(accepted)
        return response

    async def _call(
        self,
        method: str,
        path: str,
        body: msgspec.Struct | None,
        vms: Sequence[EntryVm],
    ) -> bytes:
        error = 'no entry VM'
        for vm in [*vms][:MAX_TRIES]:
            try:
                return await self._call_one(method, f'{vm.url}{path}', body)
            except (aiohttp.ClientError, OSError) as exc:
                error = f'{vm.vm}: {exc!r}'
        raise OperatorError(f'{method} {path}: {error}')

    async def _call_one(
        self, method: str, url: str, body: msgspec.Struct | None
    ) -> bytes:
        async with self._session.request(
            method,
            url,
            data=msgspec.json.encode(body) if body else None,
            headers={'Authorization': f'Bearer {OPERATOR_TOKEN}'},
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
        ) as response:
            response_body = await response.read()
            if response.status != OK:
                raise OperatorError(f'{method} {url}: {response_body.decode()}')
            return response_body


def _new_order(*, force: bool = False) -> ChangeOrder:
    return ChangeOrder(
        operation=OperationId(uuid.uuid4().hex), operator='demo', force=force
    )

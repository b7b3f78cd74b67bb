"""Runs non-idempotent requests at most once, over all entry VMs."""

import asyncio
import contextlib
import hashlib
from collections.abc import AsyncIterator

from .answers import (
    CachedResponse,
    CacheEntry,
    EntryState,
    RequestKey,
    ResponseCache,
    already_claimed,
    body_mismatch,
)
from .backend_client import BackendResponse
from .claim_writer import ClaimWriter, GrantedClaim
from .claims import ClaimStatus, claim_key
from .clock import Clock
from .exceptions import RefusedError, StoreUnavailableError
from .pending_request import GATEWAY_TIMEOUT, PendingRequest, deadline_exceeded
from .states import Outcome

UNAVAILABLE = 503


class AtMostOnce:
    """Joins the answers kept on this VM with the claims of all VMs."""

    def __init__(
        self,
        book: ResponseCache,
        claims: ClaimWriter,
        clock: Clock,
    ) -> None:
        """Look up retries in ``book`` first, then claim by ``claims``."""
        self._book = book
        self._claims = claims
        self._clock = clock

    def check_body(self, pending: PendingRequest) -> None:
        """Refuse an idempotent request whose id came with another body."""
        self._book.check_body(_key(pending), _digest(pending))

    async def find_response(
        self, pending: PendingRequest
    ) -> CachedResponse | None:
        """Return the kept answer to an earlier try; None: never seen here.

        Waits for an earlier try that is in progress. Raises ``RefusedError``
        when the earlier one may have run and its answer cannot be told.
        """
        while True:
            entry = self._book.find(_key(pending), _digest(pending))
            if entry is None:
                return None
            await self._await_end(pending, entry)
            if entry.fate is EntryState.UNKNOWN:
                raise already_claimed()
            if entry.answer is not None:
                return entry.answer

    @contextlib.asynccontextmanager
    async def claimed(
        self, pending: PendingRequest
    ) -> AsyncIterator[CacheEntry]:
        """Hold the claim of ``pending``; nothing may be sent without it.

        A request that surely did not run gives its claim back. Raises
        ``RefusedError`` when there is no claim.
        """
        entry = self._book.begin(_key(pending), _digest(pending))
        held: GrantedClaim | None = None
        try:
            held = await self._claim(pending)
            yield entry
        finally:
            self._end(pending, entry, held)

    def keep(self, entry: CacheEntry, answer: BackendResponse) -> None:
        """Keep the answer for retries, when it is known whole."""
        if answer.rest is None:
            kept = CachedResponse(answer.status, answer.headers, answer.body)
            self._book.keep(entry, kept, self._clock.monotonic_s())

    def _end(
        self,
        pending: PendingRequest,
        entry: CacheEntry,
        held: GrantedClaim | None,
    ) -> None:
        if entry.fate is not EntryState.IN_PROGRESS:
            return
        if pending.may_have_run:
            self._book.finish_unknown(entry, self._clock.monotonic_s())
            return
        self._book.forget(entry)
        if held is not None:
            self._claims.release(held)

    async def _claim(self, pending: PendingRequest) -> GrantedClaim:
        head = pending.head
        key = claim_key(head.contract.organisation, head.request)
        left_s = head.deadline_s - self._clock.monotonic_s()
        try:
            decision = await asyncio.wait_for(
                self._claims.claim(key, _digest(pending)), left_s
            )
        except TimeoutError as exc:
            raise deadline_exceeded(pending) from exc
        except StoreUnavailableError as exc:
            raise RefusedError(
                UNAVAILABLE,
                'non-idempotent requests are not taken up while the platform '
                f'cannot be reached: {exc}',
            ) from exc
        if decision.status is ClaimStatus.TAKEN_WITH_OTHER_BODY:
            raise body_mismatch()
        if decision.status is ClaimStatus.TAKEN:
            raise already_claimed()
        return GrantedClaim(decision.claim, decision.mod_revision)

    async def _await_end(
        self, pending: PendingRequest, entry: CacheEntry
    ) -> None:
        left_s = pending.head.deadline_s - self._clock.monotonic_s()
        try:
            await asyncio.wait_for(entry.ended.wait(), left_s)
        except TimeoutError as exc:
            raise RefusedError(
                GATEWAY_TIMEOUT,
                'an earlier try of the request is in progress',
                outcome=Outcome.UNKNOWN,
            ) from exc


def _key(pending: PendingRequest) -> RequestKey:
    return (pending.head.contract.organisation, pending.head.request)


def _digest(pending: PendingRequest) -> str:
    """Return the digest of the body and its idempotence.

    Empty for a body that streams: such a retry is never told apart, and so
    never replayed with certainty.
    """
    if not isinstance(pending.body, bytes):
        return ''
    digest = hashlib.sha256(b'1' if pending.head.idempotent else b'0')
    digest.update(pending.body)
    return digest.hexdigest()

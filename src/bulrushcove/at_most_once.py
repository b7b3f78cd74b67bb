"""Runs non-idempotent requests at most once, over all entry VMs."""

import asyncio
import contextlib
import hashlib
from collections.abc import AsyncIterator

from .backend_client import BackendResponse
from .claim_writer import ClaimWriter, GrantedClaim
from .claims import ClaimStatus, claim_key
from .clock import Clock
from .exceptions import RefusedError, StoreUnavailableError
from .pending_request import GATEWAY_TIMEOUT, PendingRequest, deadline_exceeded
from .response_cache import (
    CachedResponse,
    CacheEntry,
    EntryState,
    RequestKey,
    ResponseCache,
    already_claimed,
    body_mismatch,
)
from .states import Outcome

UNAVAILABLE = 503


class AtMostOnce:
    """Uses the responses cached on this VM and the claims of all VMs."""

    def __init__(
        self,
        cache: ResponseCache,
        claims: ClaimWriter,
        clock: Clock,
    ) -> None:
        """Look up retries in ``cache`` first, then claim ids by ``claims``."""
        self._cache = cache
        self._claims = claims
        self._clock = clock

    def check_body(self, pending: PendingRequest) -> None:
        """Raise ``RefusedError`` if the id was used with another body."""
        self._cache.check_body(_key(pending), _digest(pending))

    async def find_response(
        self, pending: PendingRequest
    ) -> CachedResponse | None:
        """Return the cached response to an earlier attempt, or None.

        Waits for an earlier attempt that is in progress. None means that the
        id is new on this VM, or that the earlier attempt did not run. Raises
        ``RefusedError`` if the earlier attempt may have run and its response
        is not known.
        """
        while True:
            entry = self._cache.find(_key(pending), _digest(pending))
            if entry is None:
                return None
            await self._await_earlier(pending, entry)
            if entry.state is EntryState.UNKNOWN:
                raise already_claimed()
            if entry.response is not None:
                return entry.response

    @contextlib.asynccontextmanager
    async def hold_claim(
        self, pending: PendingRequest
    ) -> AsyncIterator[CacheEntry]:
        """Hold the claim of ``pending``, without which it must not be sent.

        The claim is released if the request definitely did not run. Raises
        ``RefusedError`` when there is no claim.
        """
        entry = self._cache.add(_key(pending), _digest(pending))
        held: GrantedClaim | None = None
        try:
            held = await self._claim(pending)
            yield entry
        finally:
            self._finish(pending, entry, held)

    def cache_response(
        self, entry: CacheEntry, response: BackendResponse
    ) -> None:
        """Cache a complete response for retries; ignore one that streams."""
        if response.rest is None:
            cached = CachedResponse(
                response.status, response.headers, response.body
            )
            self._cache.finish_with_response(
                entry, cached, self._clock.monotonic_s()
            )

    def _finish(
        self,
        pending: PendingRequest,
        entry: CacheEntry,
        held: GrantedClaim | None,
    ) -> None:
        if entry.state is not EntryState.IN_PROGRESS:
            return
        if pending.may_have_run:
            self._cache.finish_unknown(entry, self._clock.monotonic_s())
            return
        self._cache.remove(entry)
        if held is not None:
            self._claims.release(held)

    async def _claim(self, pending: PendingRequest) -> GrantedClaim:
        head = pending.head
        key = claim_key(head.contract.organisation, head.request_id)
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
                'non-idempotent requests are refused while the platform '
                f'cannot be reached: {exc}',
            ) from exc
        if decision.status is ClaimStatus.TAKEN_WITH_OTHER_BODY:
            raise body_mismatch()
        if decision.status is ClaimStatus.TAKEN:
            raise already_claimed()
        return GrantedClaim(decision.claim, decision.mod_revision)

    async def _await_earlier(
        self, pending: PendingRequest, entry: CacheEntry
    ) -> None:
        left_s = pending.head.deadline_s - self._clock.monotonic_s()
        try:
            await asyncio.wait_for(entry.ended.wait(), left_s)
        except TimeoutError as exc:
            raise RefusedError(
                GATEWAY_TIMEOUT,
                'an earlier attempt of the request is still in progress',
                outcome=Outcome.UNKNOWN,
            ) from exc


def _key(pending: PendingRequest) -> RequestKey:
    return (pending.head.contract.organisation, pending.head.request_id)


def _digest(pending: PendingRequest) -> str:
    """Return the digest of the body and of the idempotency flag.

    Empty for a streamed body, which is not kept: a retry with another
    streamed body is not recognised, so a replayed response may belong to
    another body.
    """
    if not isinstance(pending.body, bytes):
        return ''
    digest = hashlib.sha256(b'1' if pending.head.idempotent else b'0')
    digest.update(pending.body)
    return digest.hexdigest()

"""Runs non-idempotent requests at most once, over all entry VMs."""

import asyncio
import contextlib
import hashlib
from collections.abc import AsyncIterator

from .answers import (
    AnswerBook,
    Entry,
    Fate,
    KeptAnswer,
    RequestKey,
    already_taken,
    other_body,
)
from .backend_client import BackendAnswer
from .claim_writer import ClaimWriter, HeldClaim
from .claims import Verdict, claim_key
from .clock import Clock
from .exceptions import RefusedError, StoreUnavailableError
from .states import Outcome
from .work import GATEWAY_TIMEOUT, Work, deadline_passed

UNAVAILABLE = 503


class OnceOnly:
    """Joins the answers kept on this VM with the claims of all VMs."""

    def __init__(
        self,
        book: AnswerBook,
        claims: ClaimWriter,
        clock: Clock,
    ) -> None:
        """Look up retries in ``book`` first, then claim by ``claims``."""
        self._book = book
        self._claims = claims
        self._clock = clock

    def check_body(self, work: Work) -> None:
        """Refuse an idempotent request whose id came with another body."""
        self._book.check_body(_key(work), _digest(work))

    async def find_answer(self, work: Work) -> KeptAnswer | None:
        """Return the kept answer to an earlier try; None: never seen here.

        Waits for an earlier try that is in progress. Raises ``RefusedError``
        when the earlier one may have run and its answer cannot be told.
        """
        while True:
            entry = self._book.find(_key(work), _digest(work))
            if entry is None:
                return None
            await self._await_end(work, entry)
            if entry.fate is Fate.UNKNOWN:
                raise already_taken()
            if entry.answer is not None:
                return entry.answer

    @contextlib.asynccontextmanager
    async def claimed(self, work: Work) -> AsyncIterator[Entry]:
        """Hold the claim of ``work``; nothing may be sent without it.

        A request that surely did not run gives its claim back. Raises
        ``RefusedError`` when there is no claim.
        """
        entry = self._book.begin(_key(work), _digest(work))
        held: HeldClaim | None = None
        try:
            held = await self._claim(work)
            yield entry
        finally:
            self._end(work, entry, held)

    def keep(self, entry: Entry, answer: BackendAnswer) -> None:
        """Keep the answer for retries, when it is known whole."""
        if answer.rest is None:
            kept = KeptAnswer(answer.status, answer.headers, answer.body)
            self._book.keep(entry, kept, self._clock.monotonic_s())

    def _end(self, work: Work, entry: Entry, held: HeldClaim | None) -> None:
        if entry.fate is not Fate.IN_PROGRESS:
            return
        if work.may_have_run:
            self._book.end_unknown(entry, self._clock.monotonic_s())
            return
        self._book.forget(entry)
        if held is not None:
            self._claims.release(held)

    async def _claim(self, work: Work) -> HeldClaim:
        head = work.head
        key = claim_key(head.contract.organisation, head.request)
        left_s = head.deadline_s - self._clock.monotonic_s()
        try:
            decision = await asyncio.wait_for(
                self._claims.claim(key, _digest(work)), left_s
            )
        except TimeoutError as exc:
            raise deadline_passed(work) from exc
        except StoreUnavailableError as exc:
            raise RefusedError(
                UNAVAILABLE,
                'non-idempotent requests are not taken up while the platform '
                f'cannot be reached: {exc}',
            ) from exc
        if decision.verdict is Verdict.TAKEN_WITH_OTHER_BODY:
            raise other_body()
        if decision.verdict is Verdict.TAKEN:
            raise already_taken()
        return HeldClaim(decision.claim, decision.mod_revision)

    async def _await_end(self, work: Work, entry: Entry) -> None:
        left_s = work.head.deadline_s - self._clock.monotonic_s()
        try:
            await asyncio.wait_for(entry.ended.wait(), left_s)
        except TimeoutError as exc:
            raise RefusedError(
                GATEWAY_TIMEOUT,
                'an earlier try of the request is in progress',
                outcome=Outcome.UNKNOWN,
            ) from exc


def _key(work: Work) -> RequestKey:
    return (work.head.contract.organisation, work.head.request)


def _digest(work: Work) -> str:
    """Return the digest of the body and its idempotence.

    Empty for a body that streams: such a retry is never told apart, and so
    never replayed with certainty.
    """
    if not isinstance(work.body, bytes):
        return ''
    digest = hashlib.sha256(b'1' if work.head.idempotent else b'0')
    digest.update(work.body)
    return digest.hexdigest()

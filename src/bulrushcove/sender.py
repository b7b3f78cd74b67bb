"""Takes admitted requests to backend servers, again where that is safe."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Iterator

from .backend_client import (
    BUSY,
    LEAVING,
    BackendAnswer,
    BackendClient,
    BackendNotRunError,
    BackendUnknownError,
)
from .clock import Clock
from .ids import DomainName, OrganisationId
from .retry_budget import RetryBudget
from .routing import Router, Server
from .silence import SecondTry, silence_limit_s
from .work import (
    GATEWAY_TIMEOUT,
    Work,
    backend_headers,
    deadline_passed,
    refusal,
)

BAD_GATEWAY = 502
# Time between looks for room, when no event tells of it.
ROOM_POLL_S = 0.01


class Sender:
    """Chooses servers, sends, and tells each outcome as surely as known."""

    def __init__(
        self,
        router: Router,
        client: BackendClient,
        service_s: Callable[[OrganisationId], float],
        clock: Clock,
    ) -> None:
        """Send by ``client``; ``service_s`` is what requests take so far."""
        self._router = router
        self._client = client
        self._service_s = service_s
        self._clock = clock
        self._budgets: dict[DomainName, RetryBudget] = {}

    @contextlib.asynccontextmanager
    async def answered(self, work: Work) -> AsyncIterator[BackendAnswer]:
        """Yield the answer to ``work``; its server is held meanwhile.

        Raises ``RefusedError`` whose outcome is ``not-run`` only when the
        request surely did not run.
        """
        while True:
            server = await self._pick(work)
            with contextlib.ExitStack() as holds:
                holds.enter_context(held(server))
                answer = await self._try(server, work, holds)
                if answer is not None:
                    yield answer
                    return
            await self._await_retry(work, server.domain)

    async def _pick(self, work: Work) -> Server:
        """Return a server with room; waits for one up to the deadline."""
        while True:
            now_s = self._clock.monotonic_s()
            if now_s >= work.head.deadline_s:
                raise deadline_passed(work)
            if not work.wanted():
                raise refusal(work, GATEWAY_TIMEOUT, 'the caller is gone')
            server = self._router.pick(now_s, work.avoid)
            if server is not None:
                return server
            await asyncio.sleep(ROOM_POLL_S)

    async def _try(
        self,
        server: Server,
        work: Work,
        holds: contextlib.ExitStack,
    ) -> BackendAnswer | None:
        """Send ``work`` once; None: it may go again."""
        if not work.attempts:
            self._budget(server.domain).note_first_try()
        ran_before = work.may_have_run
        try:
            return await self._send(server, work, holds)
        except BackendNotRunError as exc:
            work.may_have_run = ran_before
            self._note_refusal(server, exc.reason)
            self._check_repeatable(work, exc)
        except BackendUnknownError as exc:
            if not work.head.idempotent:
                raise refusal(work, BAD_GATEWAY, str(exc)) from exc
            self._check_repeatable(work, exc)
        except TimeoutError as exc:
            raise deadline_passed(work) from exc
        work.avoid |= {server.backend}
        return None

    async def _send(
        self,
        server: Server,
        work: Work,
        holds: contextlib.ExitStack,
    ) -> BackendAnswer:
        """Send ``work``, and once more elsewhere when nothing comes back."""
        started_s = self._clock.monotonic_s()
        left_s = work.head.deadline_s - started_s
        work.attempts += 1
        work.may_have_run = True
        second = SecondTry(lambda: self._go_again(server, work, holds))
        expected_s = self._service_s(work.head.contract.organisation)
        try:
            async with asyncio.timeout(left_s) as scope:
                second.start_after(silence_limit_s(expected_s, left_s), scope)
                answer = await self._client.send(
                    server, backend_headers(work, left_s), work.body
                )
        except TimeoutError:
            if second.answer is None:
                raise
            return second.answer
        finally:
            second.stop()
        if second.answer is not None:
            second.answer.close()
        self._note_answer(server, answer)
        work.service_s = server.heard_s - started_s
        return answer

    async def _go_again(
        self,
        silent: Server,
        work: Work,
        holds: contextlib.ExitStack,
    ) -> BackendAnswer | None:
        """Answer ``work`` over a fresh connection to another server.

        ``silent`` gets nothing new while it does not answer a probe. None:
        the request may not go again, or did not get an answer.
        """
        silent.silent = not await self._client.is_alive(silent)
        if not (work.head.idempotent and work.repeatable):
            return None
        now_s = self._clock.monotonic_s()
        server = self._router.pick(now_s, work.avoid | {silent.backend})
        if server is None or not self._budget(server.domain).take(now_s):
            return None
        holds.enter_context(held(server))
        work.attempts += 1
        left_s = work.head.deadline_s - now_s
        try:
            answer = await self._client.send(
                server, backend_headers(work, left_s), work.body, fresh=True
            )
        except BackendNotRunError as exc:
            self._note_refusal(server, exc.reason)
        except BackendUnknownError:
            return None
        else:
            self._note_answer(server, answer)
            return answer
        return None

    async def _await_retry(self, work: Work, group: DomainName) -> None:
        """Wait until the budget of ``group`` allows another try."""
        budget = self._budget(group)
        while not budget.take(self._clock.monotonic_s()):
            if self._clock.monotonic_s() >= work.head.deadline_s:
                raise deadline_passed(work)
            await asyncio.sleep(ROOM_POLL_S)

    def _note_answer(self, server: Server, answer: BackendAnswer) -> None:
        server.heard_s = self._clock.monotonic_s()
        self._router.note_served(server)
        if answer.state == LEAVING:
            server.said_leaving = True

    def _note_refusal(self, server: Server, reason: str) -> None:
        now_s = self._clock.monotonic_s()
        if reason == BUSY:
            self._router.note_busy(server, now_s)
            server.heard_s = now_s
        elif reason == LEAVING:
            server.said_leaving = True
            server.heard_s = now_s
        else:
            server.unreachable = True

    def _check_repeatable(self, work: Work, error: Exception) -> None:
        if not work.repeatable:
            raise refusal(work, BAD_GATEWAY, str(error)) from error

    def _budget(self, group: DomainName) -> RetryBudget:
        budget = self._budgets.get(group)
        if budget is None:
            budget = RetryBudget(self._clock.monotonic_s())
            self._budgets[group] = budget
        return budget


@contextlib.contextmanager
def held(server: Server) -> Iterator[None]:
    """Count one request on ``server``."""
    server.in_progress += 1
    try:
        yield
    finally:
        server.in_progress -= 1

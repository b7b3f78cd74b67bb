"""A request's wait for its turn to be sent."""

import asyncio

from .admission import Place, Ticket, too_late
from .contract import Contract
from .states import Urgency


class Turn:
    """The ticket of one request and the wait for its grant."""

    def __init__(
        self,
        contract: Contract,
        urgency: Urgency,
        deadline_s: float,
    ) -> None:
        """Prepare a ticket that has not arrived yet."""
        self.ticket = Ticket(
            organisation=contract.organisation,
            urgent=urgency is Urgency.URGENT,
            deadline_s=deadline_s,
            granted=self._note_grant,
        )
        self._waiter: asyncio.Future[None] | None = None

    async def wait(self, timeout_s: float) -> None:
        """Return once granted.

        Raises ``RefusedError`` when the request cannot finish in time.
        """
        if self.ticket.place is Place.QUEUED:
            self._waiter = asyncio.get_running_loop().create_future()
            await asyncio.wait((self._waiter,), timeout=timeout_s)
        if self.ticket.place is not Place.IN_PROGRESS:
            raise too_late()

    def _note_grant(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

"""A request's wait for its turn to be sent."""

import asyncio

from .admission import Ticket, TicketState, deadline_unreachable
from .contract import Contract
from .states import Urgency


class AdmissionWaiter:
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
            granted=self._set_granted,
        )
        self._grant: asyncio.Future[None] | None = None

    async def wait(self, timeout_s: float) -> None:
        """Return once granted.

        Raises ``RefusedError`` when the request cannot finish in time.
        """
        if self.ticket.place is TicketState.QUEUED:
            self._grant = asyncio.get_running_loop().create_future()
            await asyncio.wait((self._grant,), timeout=timeout_s)
        if self.ticket.place is not TicketState.IN_PROGRESS:
            raise deadline_unreachable()

    def _set_granted(self) -> None:
        if self._grant is not None and not self._grant.done():
            self._grant.set_result(None)

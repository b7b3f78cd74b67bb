"""Waits until admission control lets a request be sent."""

import asyncio

from .admission import Ticket, TicketState, deadline_unreachable
from .contract import Contract
from .states import Urgency


class AdmissionWaiter:
    """Admission ticket of one request, and the wait until it is granted."""

    def __init__(
        self,
        contract: Contract,
        urgency: Urgency,
        deadline_s: float,
    ) -> None:
        """Create a ticket that is not admitted yet."""
        self.ticket = Ticket(
            organisation=contract.organisation,
            is_urgent=urgency is Urgency.URGENT,
            deadline_s=deadline_s,
            on_decision=self._wake,
        )
        self._decided: asyncio.Future[None] | None = None

    async def wait(self, timeout_s: float) -> None:
        """Return once the ticket is in progress.

        Raises ``RefusedError`` if it was removed or ``timeout_s`` has passed.
        """
        if self.ticket.state is TicketState.QUEUED:
            self._decided = asyncio.get_running_loop().create_future()
            await asyncio.wait((self._decided,), timeout=timeout_s)
        if self.ticket.state is not TicketState.IN_PROGRESS:
            raise deadline_unreachable()

    def _wake(self) -> None:
        if self._decided is not None and not self._decided.done():
            self._decided.set_result(None)

"""Checks that a draining backend server receives no new requests."""

from dev.history.bounds import ARRIVAL_AFTER_DRAIN_S
from dev.history.events import RequestEvent, RequestStep
from dev.history.records import BackendDrain, History


def find_arrivals_after_drain(history: History) -> list[str]:
    """Return each request that arrived too long after draining began."""
    return [
        f'request {event.request} arrived at {event.backend} more than'
        f' {ARRIVAL_AFTER_DRAIN_S} s after it began to drain'
        for drain in history.drains
        for event in history.requests
        if event.step is RequestStep.ARRIVE and _is_late(event, drain)
    ]


def _is_late(event: RequestEvent, drain: BackendDrain) -> bool:
    if event.backend != drain.backend:
        return False
    if drain.returned_at_s is not None and event.at_s >= drain.returned_at_s:
        return False
    return event.at_s > drain.first_signal_at_s + ARRIVAL_AFTER_DRAIN_S

"""Check: a leaving backend server receives nothing new."""

from dev.history.bounds import ARRIVAL_AFTER_LEAVING_S
from dev.history.events import RequestEvent, RequestStep
from dev.history.records import History, Leaving


def find_arrivals_after_leaving(history: History) -> list[str]:
    """Return each arrival too late after the first sign of leaving."""
    return [
        f'request {event.request} arrived at {event.backend} more than'
        f' {ARRIVAL_AFTER_LEAVING_S} s after it began to leave'
        for leaving in history.leavings
        for event in history.requests
        if event.step is RequestStep.ARRIVE and _is_late(event, leaving)
    ]


def _is_late(event: RequestEvent, leaving: Leaving) -> bool:
    if event.backend != leaving.backend:
        return False
    if leaving.returned_s is not None and event.at_s >= leaving.returned_s:
        return False
    return event.at_s > leaving.first_sign_s + ARRIVAL_AFTER_LEAVING_S

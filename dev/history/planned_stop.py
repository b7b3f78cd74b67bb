"""Checks that a planned stop interrupts no request in progress."""

from dev.history.records import History


def find_interrupted_requests(history: History) -> list[str]:
    """Return each request in progress at a stop that got no response."""
    return [
        f'request {request.request} of {request.organisation} was in'
        f' progress when {stop.vm} was stopped and got no complete response'
        for stop in history.stops
        for request in history.caller_requests
        if request.vm == stop.vm
        and request.sent_at_s <= stop.at_s <= request.ended_at_s
        and request.status is None
    ]

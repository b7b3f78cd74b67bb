"""Checks that each caller gets the complete response to its own request."""

from dev.history.records import History


def find_wrong_answers(history: History) -> list[str]:
    """Return each successful request whose body is wrong or incomplete."""
    return [
        f'request {request.request} of {request.organisation} got a body'
        ' that is not its own complete response'
        for request in history.caller_requests
        if request.is_served and not request.body_matches
    ]

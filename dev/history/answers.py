"""Check: each caller gets the whole answer to its own request."""

from dev.history.records import History


def find_wrong_answers(history: History) -> list[str]:
    """Return each success whose body is not the request's own, whole."""
    return [
        f'request {request.request} of {request.organisation} got a body'
        ' that is not its whole own answer'
        for request in history.caller_requests
        if request.is_served and not request.body_matches
    ]

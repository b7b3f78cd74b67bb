"""Checks that no task starts in a failure domain out of service."""

from bulrushcove.ids import DomainName
from bulrushcove.states import DomainState
from dev.history.bounds import START_AFTER_TAKE_OUT_S
from dev.history.events import TaskEvent, TaskStep
from dev.history.records import History


def find_starts_out_of_service(history: History) -> list[str]:
    """Return each task start too long after its domain was taken out."""
    return [
        f'job {event.job} started in {event.domain} more than'
        f' {START_AFTER_TAKE_OUT_S} s after it was taken out of service'
        for event in history.tasks
        if event.step is TaskStep.START and _is_forbidden(event, history)
    ]


def _is_forbidden(event: TaskEvent, history: History) -> bool:
    return any(
        begin_s < event.at_s < end_s
        for begin_s, end_s in _forbidden_intervals(event.domain, history)
    )


def _forbidden_intervals(
    domain: DomainName, history: History
) -> list[tuple[float, float]]:
    changes = [
        change for change in history.domain_changes if change.domain == domain
    ]
    return [
        (
            change.accepted_at_s + START_AFTER_TAKE_OUT_S,
            min(
                (
                    later.sent_at_s
                    for later in changes[number:]
                    if later.state is DomainState.IN_SERVICE
                ),
                default=float('inf'),
            ),
        )
        for number, change in enumerate(changes)
        if change.state is DomainState.OUT_OF_SERVICE
    ]

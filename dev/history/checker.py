"""Runs every check on a history."""

from collections.abc import Callable, Mapping
from types import MappingProxyType

from dev.history.answers import find_wrong_answers
from dev.history.at_most_once import find_repeated_runs
from dev.history.draining import find_arrivals_after_drain
from dev.history.gangs import find_partial_gangs, find_results_of_partial_runs
from dev.history.guaranteed_starts import find_late_guaranteed_starts
from dev.history.isolation import find_leaks
from dev.history.kept_jobs import find_lost_jobs
from dev.history.not_run import find_false_not_run
from dev.history.planned_stop import find_interrupted_requests
from dev.history.records import History
from dev.history.revisions import find_late_revisions, find_reverted_revisions
from dev.history.take_out import find_starts_out_of_service

Check = Callable[[History], list[str]]

CHECKS: Mapping[str, Check] = MappingProxyType(
    {
        'guaranteed jobs start in time': find_late_guaranteed_starts,
        'no gang runs partially': find_partial_gangs,
        'no success with parts missing': find_results_of_partial_runs,
        'no start in a domain out of service': find_starts_out_of_service,
        'complete response to its own caller': find_wrong_answers,
        'nothing reported not-run has run': find_false_not_run,
        'non-idempotent at most once': find_repeated_runs,
        'no new request to a draining server': find_arrivals_after_drain,
        'planned stop interrupts no request': find_interrupted_requests,
        'configuration never reverts': find_reverted_revisions,
        'configuration in force in time': find_late_revisions,
        'organisations see only their own data': find_leaks,
        'accepted jobs are kept': find_lost_jobs,
    }
)


def check_history(history: History) -> dict[str, list[str]]:
    """Return the violations by the name of each property that is violated."""
    found = {name: check(history) for name, check in CHECKS.items()}
    return {
        name: violations for name, violations in found.items() if violations
    }

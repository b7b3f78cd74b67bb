"""All checks of a history."""

from collections.abc import Callable, Mapping
from types import MappingProxyType

from dev.history.answers import find_wrong_answers
from dev.history.at_most_once import find_repeated_runs
from dev.history.gangs import find_partial_gangs, find_results_of_parts
from dev.history.isolation import find_leaks
from dev.history.kept_jobs import find_lost_jobs
from dev.history.leaving import find_arrivals_after_leaving
from dev.history.not_run import find_false_not_run
from dev.history.planned_stop import find_cut_requests
from dev.history.reclaim import find_late_reclaims
from dev.history.records import History
from dev.history.revisions import find_late_revisions, find_reverted_revisions
from dev.history.take_out import find_starts_in_domains_out

Check = Callable[[History], list[str]]

CHECKS: Mapping[str, Check] = MappingProxyType(
    {
        'guaranteed shape reclaimed': find_late_reclaims,
        'no gang runs partially': find_partial_gangs,
        'no result from a part': find_results_of_parts,
        'no start in a domain taken out': find_starts_in_domains_out,
        'whole answer to its own caller': find_wrong_answers,
        'not-run is true': find_false_not_run,
        'non-idempotent at most once': find_repeated_runs,
        'nothing new to a leaving server': find_arrivals_after_leaving,
        'planned stop cuts nothing': find_cut_requests,
        'configuration never reverts': find_reverted_revisions,
        'configuration in force in time': find_late_revisions,
        'organisations see only their own': find_leaks,
        'accepted jobs are kept': find_lost_jobs,
    }
)


def check_history(history: History) -> dict[str, list[str]]:
    """Return the violations of each property that does not hold."""
    found = {name: check(history) for name, check in CHECKS.items()}
    return {name: broken for name, broken in found.items() if broken}

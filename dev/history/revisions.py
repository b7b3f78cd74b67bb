"""Checks that accepted configurations spread in time and never revert."""

from collections import defaultdict

from dev.history.bounds import REVISION_SPREAD_S
from dev.history.records import History, ObservedRevision


def find_reverted_revisions(history: History) -> list[str]:
    """Return each decrease of the revision within one process."""
    by_process: dict[str, list[ObservedRevision]] = defaultdict(list)
    for observation in sorted(history.observed_revisions, key=_get_time_s):
        by_process[observation.process].append(observation)
    return [
        f'{process} went back from revision {before.revision} to'
        f' {after.revision}'
        for process, observations in by_process.items()
        for before, after in zip(observations, observations[1:], strict=False)
        if after.revision < before.revision
    ]


def find_late_revisions(history: History) -> list[str]:
    """Return each process that held an older revision for too long."""
    return [
        f'{observation.process} was at revision {observation.revision}'
        f' {observation.at_s - accepted.accepted_at_s:.1f} s after revision'
        f' {accepted.revision} was accepted'
        for accepted in history.accepted_revisions
        for observation in history.observed_revisions
        if observation.at_s > accepted.accepted_at_s + REVISION_SPREAD_S
        and observation.revision < accepted.revision
    ]


def _get_time_s(observation: ObservedRevision) -> float:
    return observation.at_s

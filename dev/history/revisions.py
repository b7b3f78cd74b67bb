"""Check: an accepted configuration is in force everywhere, for good."""

from collections import defaultdict

from dev.history.bounds import REVISION_SPREAD_S
from dev.history.records import History, RevisionSeen


def find_reverted_revisions(history: History) -> list[str]:
    """Return each fall of the revision within one process."""
    seen: dict[str, list[RevisionSeen]] = defaultdict(list)
    for sight in sorted(history.revisions, key=_seen_at_s):
        seen[sight.process].append(sight)
    return [
        f'{process} went back from revision {before.revision} to'
        f' {after.revision}'
        for process, sights in seen.items()
        for before, after in zip(sights, sights[1:], strict=False)
        if after.revision < before.revision
    ]


def find_late_revisions(history: History) -> list[str]:
    """Return each process that was behind for too long."""
    return [
        f'{sight.process} was at revision {sight.revision}'
        f' {sight.at_s - accepted.accepted_s:.1f} s after revision'
        f' {accepted.revision} was accepted'
        for accepted in history.accepted
        for sight in history.revisions
        if sight.at_s > accepted.accepted_s + REVISION_SPREAD_S
        and sight.revision < accepted.revision
    ]


def _seen_at_s(sight: RevisionSeen) -> float:
    return sight.at_s

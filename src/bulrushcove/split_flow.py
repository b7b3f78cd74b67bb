"""Decides whether splittable demands can be met from limited sources."""

from collections import defaultdict
from collections.abc import Mapping

SourceSet = frozenset[int]


def can_satisfy(
    demands: Mapping[SourceSet, int], spare: Mapping[int, int]
) -> bool:
    """Return whether each demand can be met from its own set of sources.

    ``demands`` gives the amount wanted from each set of sources, and
    ``spare`` the amount that each source has. This computes a maximum flow
    by augmenting paths.
    """
    flow = _Flow(spare)
    for sources, amount in demands.items():
        missing = amount
        while missing:
            moved = flow.augment(sources, missing)
            if not moved:
                return False
            missing -= moved
    return True


class _Flow:
    """Amounts assigned so far from each source to each demand."""

    def __init__(self, spare: Mapping[int, int]) -> None:
        self._spare = dict(spare)
        self._assigned: dict[tuple[SourceSet, int], int] = defaultdict(int)

    def augment(self, demand: SourceSet, limit: int) -> int:
        """Assign up to ``limit`` more to ``demand``; return the amount.

        Searches breadth first for the shortest augmenting path.
        """
        reached_from: dict[int, SourceSet] = {}
        freed_by: dict[SourceSet, int] = {}
        queue = [demand]
        for reached in queue:
            unvisited = sorted(reached.difference(reached_from))
            reached_from.update(dict.fromkeys(unvisited, reached))
            for source in unvisited:
                if self._spare[source]:
                    path = _path(demand, source, reached_from, freed_by)
                    return self._shift(path, limit)
                holders = self._holders(source) - {demand, *freed_by}
                freed_by.update(dict.fromkeys(holders, source))
                queue.extend(holders)
        return 0

    def _holders(self, source: int) -> set[SourceSet]:
        return {
            demand
            for (demand, assigned_source), amount in self._assigned.items()
            if assigned_source == source and amount
        }

    def _shift(self, path: list[tuple[SourceSet, int]], limit: int) -> int:
        """Move an amount along ``path``, whose last source has spare."""
        last_source = path[-1][1]
        moved = min(limit, self._spare[last_source])
        for (_, source), (holder, _) in zip(path, path[1:], strict=False):
            moved = min(moved, self._assigned[holder, source])
        for demand, source in path:
            self._assigned[demand, source] += moved
        for (_, freed_source), (holder, _) in zip(path, path[1:], strict=False):
            self._assigned[holder, freed_source] -= moved
        self._spare[last_source] -= moved
        return moved


def _path(
    first_demand: SourceSet,
    last_source: int,
    reached_from: Mapping[int, SourceSet],
    freed_by: Mapping[SourceSet, int],
) -> list[tuple[SourceSet, int]]:
    """Return the demands on the path, each with the source it draws from."""
    source = last_source
    path = [(reached_from[source], source)]
    while path[-1][0] != first_demand:
        source = freed_by[path[-1][0]]
        path.append((reached_from[source], source))
    path.reverse()
    return path

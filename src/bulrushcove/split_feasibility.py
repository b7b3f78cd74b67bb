"""Decides whether amounts that may be split fit into limited places."""

from collections import defaultdict
from collections.abc import Mapping

Places = frozenset[int]


def fits_split(wants: Mapping[Places, int], spare: Mapping[int, int]) -> bool:
    """Return whether each amount can be met from its own set of places.

    ``wants`` gives the amount for each set of places, ``spare`` what each
    place has. This is maximum flow by augmenting paths.
    """
    flow = _Flow(spare)
    for places, amount in wants.items():
        missing = amount
        while missing:
            moved = flow.augment(places, missing)
            if not moved:
                return False
            missing -= moved
    return True


class _Flow:
    """Amounts given so far from each place to each want."""

    def __init__(self, spare: Mapping[int, int]) -> None:
        self._spare = dict(spare)
        self._given: dict[tuple[Places, int], int] = defaultdict(int)

    def augment(self, source: Places, most: int) -> int:
        """Give up to ``most`` more to ``source``; return how much."""
        reached_from: dict[int, Places] = {}
        freed_by: dict[Places, int] = {}
        queue = [source]
        for want in queue:
            fresh = sorted(want.difference(reached_from))
            reached_from.update(dict.fromkeys(fresh, want))
            for place in fresh:
                if self._spare[place]:
                    path = _path(source, place, reached_from, freed_by)
                    return self._shift(path, most)
                holders = self._holders(place) - {source, *freed_by}
                freed_by.update(dict.fromkeys(holders, place))
                queue.extend(holders)
        return 0

    def _holders(self, place: int) -> set[Places]:
        return {
            want
            for (want, where), amount in self._given.items()
            if where == place and amount
        }

    def _shift(self, path: list[tuple[Places, int]], most: int) -> int:
        """Move an amount along ``path``, which ends at a spare place."""
        last_place = path[-1][1]
        moved = min(most, self._spare[last_place])
        for (_, place), (holder, _) in zip(path, path[1:], strict=False):
            moved = min(moved, self._given[holder, place])
        for want, place in path:
            self._given[want, place] += moved
        for (_, left_place), (holder, _) in zip(path, path[1:], strict=False):
            self._given[holder, left_place] -= moved
        self._spare[last_place] -= moved
        return moved


def _path(
    source: Places,
    last: int,
    reached_from: Mapping[int, Places],
    freed_by: Mapping[Places, int],
) -> list[tuple[Places, int]]:
    """Return who takes from which place, from the source to the end."""
    place = last
    path = [(reached_from[place], place)]
    while path[-1][0] != source:
        place = freed_by[path[-1][0]]
        path.append((reached_from[place], place))
    path.reverse()
    return path

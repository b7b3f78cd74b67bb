"""The order in which other VMs are asked to relay a call to the store.

Some are gone, cut off from the store themselves, or do not answer: a paused VM,
or one that only this VM does not hear.
"""

import random
from collections.abc import Iterable


class RelayOrder:
    """The peer that last reached the store comes first, silent ones last."""

    def __init__(self) -> None:
        """Start without any call."""
        self._last_address = ''
        # Peers that did not answer their last call, in the order of these.
        self._silent: list[str] = []

    def sort(self, addresses: Iterable[str]) -> list[str]:
        """Return ``addresses``, the best first; equal ones are shuffled."""
        candidates = list(addresses)
        random.shuffle(candidates)
        candidates.sort(key=self._sort_key)
        return candidates

    def record_answer(self, address: str, *, has_reached_store: bool) -> None:
        """Record an answer of ``address``."""
        if address in self._silent:
            self._silent.remove(address)
        if has_reached_store:
            self._last_address = address

    def record_silence(self, address: str) -> None:
        """Record that ``address`` did not answer in time."""
        if address in self._silent:
            self._silent.remove(address)
        self._silent.append(address)

    def forget_last(self) -> None:
        """Record that no peer has reached the store."""
        self._last_address = ''

    def _sort_key(self, address: str) -> tuple[int, bool]:
        silence = 0
        if address in self._silent:
            silence = 1 + self._silent.index(address)
        return (silence, address != self._last_address)

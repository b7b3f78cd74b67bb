"""When a VM tries to become the active scheduler; no input or output.

Answers a scheduler whose process died, whose VM lost power, that is cut off
from the other VMs, or that was stopped as planned.
"""

from enum import Enum

import msgspec

# Pings without an answer after which the record is read.
MISSED_PINGS = 2
# A holder whose record stands but whom nobody hears is replaced after this.
REPLACE_SILENT_S = 0.35
# A holder that lives but is not active yet may be loading its records.
LOADING_S = 3.0
# Time ahead of a campaign per second of round trip to the store, so that the
# VM nearest to the store goes first.
DELAY_PER_ROUND_TRIP = 5.0
MAX_DELAY_S = 0.35


class Verdict(Enum):
    """What to do about the holder."""

    # It is well, or not silent for long enough.
    WAIT = 'wait'
    # Look at its record: without one, campaign.
    READ_RECORD = 'read-record'
    # It is surely or most likely gone, unless other VMs hear it.
    REPLACE = 'replace'


class Sight(msgspec.Struct):
    """What was seen of the holder since it was last heard."""

    missed_pings: int = 0
    silent_since_s: float = 0.0
    # Its process has ended: its port refuses, or another process answers.
    is_dead: bool = False
    idle_since_s: float = 0.0

    def note_heard(self, *, is_active: bool, now_s: float) -> None:
        """It answered; when it ``is_active`` all is well."""
        self.missed_pings = 0
        self.silent_since_s = 0.0
        self.is_dead = False
        if is_active:
            self.idle_since_s = 0.0
        else:
            self.idle_since_s = self.idle_since_s or now_s

    def note_missed(self, now_s: float) -> None:
        """It did not answer."""
        self.missed_pings += 1
        self.silent_since_s = self.silent_since_s or now_s


def judge(sight: Sight, now_s: float) -> Verdict:
    """Return what the sight of the holder asks for."""
    if sight.is_dead:
        return Verdict.REPLACE
    if sight.idle_since_s:
        is_stuck = now_s - sight.idle_since_s > LOADING_S
        return Verdict.REPLACE if is_stuck else Verdict.READ_RECORD
    if sight.missed_pings < MISSED_PINGS:
        return Verdict.WAIT
    silent_s = now_s - sight.silent_since_s
    if silent_s > REPLACE_SILENT_S:
        return Verdict.REPLACE
    return Verdict.READ_RECORD


def campaign_delay_s(round_trip_s: float) -> float:
    """Return how long to leave the record to VMs nearer to the store."""
    return min(MAX_DELAY_S, round_trip_s * DELAY_PER_ROUND_TRIP)

"""Decides when a VM replaces the leader; no I/O.

Covers a leader whose process died, whose VM lost power, that is partitioned
from the other VMs, or that was stopped as planned.
"""

from enum import Enum

import msgspec

# Missed pings after which the leader's record is read.
MISSED_PINGS = 2
# A leader that no VM can reach is replaced after this, even though its record
# still exists.
SILENCE_TIMEOUT_S = 0.35
# If no asked VM answers either, this VM's own link may be full or cut; cuts of
# single VMs last up to 5.5 s. The record of a dead leader expires before.
UNCONFIRMED_SILENCE_TIMEOUT_S = 6.0
# A leader that responds without authority may renew its lease again, or learn
# only now that its record was written.
INACTIVE_TIMEOUT_S = 3.0
# Shortest interval between two pings of one follower.
PING_INTERVAL_S = 0.25
# The followers of a large deployment share these rates, so that the leader's
# work does not grow with their number. VMs that should lead ping more often.
LARGE_VM_PINGS_PER_S = 120.0
SMALL_VM_PINGS_PER_S = 40.0
MAX_PING_INTERVAL_S = 3.0
# Time from a missed ping to the next one.
MISSED_PING_RETRY_S = 0.05
# A VM with less CPU than this has trouble to lead hundreds of workers.
SMALL_VM_CORES = 0.75
# Extra delay before a small VM campaigns, so that larger ones go first even
# when they are far from the store.
SMALL_VM_DELAY_S = 0.5
# Delay before a campaign, per second of round trip to the store, so that the
# VM nearest to the store goes first.
DELAY_PER_ROUND_TRIP = 5.0
MAX_DELAY_S = 0.35


class FailoverAction(Enum):
    """What a follower does about the leader."""

    # The leader is healthy, or has not been silent for long enough.
    WAIT = 'wait'
    # Read the leader's record and campaign if there is none.
    READ_RECORD = 'read-record'
    # It has probably ended or is stuck: campaign unless other VMs reach it.
    REPLACE = 'replace'


class PeerReports(msgspec.Struct, frozen=True):
    """What other VMs say of the leader: how many of those asked."""

    asked: int = 0
    # Responded in time, whatever they said.
    answered: int = 0
    # Reach the leader.
    hearing: int = 0


NO_REPORTS = PeerReports()


class LeaderObservation(msgspec.Struct):
    """Results of the pings to the leader; a time of zero is not set."""

    missed_pings: int = 0
    silent_since_s: float = 0.0
    # Presumed from a refused connection, another process at its address or a
    # hand-over; other VMs are not asked then.
    is_dead: bool = False
    # When it first responded without authority.
    idle_since_s: float = 0.0

    def record_pong(self, *, is_active: bool, now_s: float) -> None:
        """Record a pong, in which the leader reports ``is_active``."""
        self.missed_pings = 0
        self.silent_since_s = 0.0
        self.is_dead = False
        if is_active:
            self.idle_since_s = 0.0
        else:
            self.idle_since_s = self.idle_since_s or now_s

    def record_missed_ping(self, now_s: float) -> None:
        """Record a ping without a response."""
        self.missed_pings += 1
        self.silent_since_s = self.silent_since_s or now_s


def choose_action(
    observation: LeaderObservation,
    now_s: float,
    reports: PeerReports = NO_REPORTS,
) -> FailoverAction:
    """Return what to do about a leader with this ``observation``.

    ``reports`` are those of the VMs that were just asked about it.
    """
    action = _choose_unheard(observation, now_s, reports)
    if action is FailoverAction.REPLACE and reports.hearing:
        return FailoverAction.READ_RECORD
    return action


def _choose_unheard(
    observation: LeaderObservation, now_s: float, reports: PeerReports
) -> FailoverAction:
    """Choose what to do if no other VM hears the leader."""
    if observation.is_dead:
        return FailoverAction.REPLACE
    if observation.idle_since_s:
        is_stuck = now_s - observation.idle_since_s > INACTIVE_TIMEOUT_S
        return (
            FailoverAction.REPLACE if is_stuck else FailoverAction.READ_RECORD
        )
    if observation.missed_pings < MISSED_PINGS:
        return FailoverAction.WAIT
    is_unconfirmed = reports.asked and not reports.answered
    timeout_s = (
        UNCONFIRMED_SILENCE_TIMEOUT_S if is_unconfirmed else SILENCE_TIMEOUT_S
    )
    if now_s - observation.silent_since_s > timeout_s:
        return FailoverAction.REPLACE
    return FailoverAction.READ_RECORD


def campaign_delay_s(round_trip_s: float, cpu_cores: float) -> float:
    """Return how long a VM waits before it campaigns.

    Larger VMs campaign first, and among them those nearer to the store.
    """
    delay_s = min(MAX_DELAY_S, round_trip_s * DELAY_PER_ROUND_TRIP)
    if _is_small(cpu_cores):
        delay_s += SMALL_VM_DELAY_S
    return delay_s


def ping_interval_s(vm_count: int, cpu_cores: float) -> float:
    """Return the interval between the pings of a VM to a healthy leader.

    It grows with ``vm_count``, the number of VMs that ping the leader.
    """
    pings_per_s = (
        SMALL_VM_PINGS_PER_S if _is_small(cpu_cores) else LARGE_VM_PINGS_PER_S
    )
    interval_s = max(PING_INTERVAL_S, vm_count / pings_per_s)
    return min(MAX_PING_INTERVAL_S, interval_s)


def _is_small(cpu_cores: float) -> bool:
    return cpu_cores < SMALL_VM_CORES

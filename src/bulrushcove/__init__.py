"""Scheduler for multi-accelerator jobs under organisation guarantees.

The daemons and the command line are the product; the names below are what
programs beside them may rely on: the contract and job types that travel over
HTTP, and the interface that another key-value service has to offer.
"""

from .contract import Contract, GuaranteedShape, JobLimits, RequestLimits
from .exceptions import BulrushcoveError
from .job import JobSpec
from .states import Adjacency, JobState, Outcome, Urgency
from .store import Scan, Store, StoredValue, Write, WriteAnswer

__version__ = '0.1.0'

__all__ = (
    'Adjacency',
    'BulrushcoveError',
    'Contract',
    'GuaranteedShape',
    'JobLimits',
    'JobSpec',
    'JobState',
    'Outcome',
    'RequestLimits',
    'Scan',
    'Store',
    'StoredValue',
    'Urgency',
    'Write',
    'WriteAnswer',
)

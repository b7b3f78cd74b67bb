"""Scheduler for multi-accelerator jobs with guarantees for organisations.

The product is the daemons and the command line. The names below are the public
API for other programs: the contract and job types that are sent over HTTP, and
the interface that another key-value store has to implement.
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

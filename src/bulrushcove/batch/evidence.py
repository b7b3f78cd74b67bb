"""What reports and submissions have told the current leader.

It is kept in memory; the next leader learns it anew.
"""

from collections.abc import Callable, Mapping

from ..ids import WorkerId
from .crash_handler import CrashHandler
from .headroom import UrgentDemand
from .ids import QueueName
from .job_spec import StepSpec
from .progress_model import ProgressModel
from .workers import Worker


class Evidence:
    """Crashes and progress of runs, and the demand of urgent jobs."""

    def __init__(
        self,
        workers: Mapping[WorkerId, Worker],
        task_ms: Callable[[QueueName, StepSpec], float],
    ) -> None:
        """Start without evidence.

        ``workers`` are all workers as known at any time. ``task_ms`` returns
        the expected milliseconds of a task.
        """
        self.crashes = CrashHandler()
        self.progress = ProgressModel(workers, task_ms)
        self.urgent_demand = UrgentDemand()

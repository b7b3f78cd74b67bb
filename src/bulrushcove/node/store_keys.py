"""Keys in the store that this program writes."""

from ..ids import JobId, VmId

ROOT = 'bulrushcove/'
# Who is the active scheduler.
LEADER_KEY = f'{ROOT}tenure'
# Stream addresses of the VMs.
VMS_PREFIX = f'{ROOT}vms/'
# What was accepted, and how far it is.
JOBS_PREFIX = f'{ROOT}jobs/'
PROGRESS_PREFIX = f'{ROOT}progress/'


def vm_key(vm: VmId) -> str:
    """Return the key of a VM's address."""
    return f'{VMS_PREFIX}{vm}'


def job_key(job: JobId) -> str:
    """Return the key of a job's submission."""
    return f'{JOBS_PREFIX}{job}'


def progress_key(job: JobId) -> str:
    """Return the key of a job's progress."""
    return f'{PROGRESS_PREFIX}{job}'

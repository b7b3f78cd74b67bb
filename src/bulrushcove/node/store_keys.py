"""Store keys that the node program writes."""

from ..ids import JobId, VmId

KEY_PREFIX = 'bulrushcove/'
# Record of the leader.
LEADER_KEY = f'{KEY_PREFIX}tenure'
# When the leases of workers that do not respond expire.
LEASE_EXPIRY_KEY = f'{KEY_PREFIX}lease-expiry'
# Stream addresses of the VMs.
VMS_PREFIX = f'{KEY_PREFIX}vms/'
# Accepted submissions, and the progress of their jobs.
JOBS_PREFIX = f'{KEY_PREFIX}jobs/'
PROGRESS_PREFIX = f'{KEY_PREFIX}progress/'
# Cancellations of jobs that were not known then.
CANCELLATIONS_PREFIX = f'{KEY_PREFIX}cancelled/'


def vm_key(vm: VmId) -> str:
    """Return the key of a VM's stream address."""
    return f'{VMS_PREFIX}{vm}'


def job_key(job: JobId) -> str:
    """Return the key of a job's submission record."""
    return f'{JOBS_PREFIX}{job}'


def progress_key(job: JobId) -> str:
    """Return the key of a job's progress record."""
    return f'{PROGRESS_PREFIX}{job}'


def cancellation_key(job: JobId) -> str:
    """Return the key of the cancellation of a job that was not known."""
    return f'{CANCELLATIONS_PREFIX}{job}'

"""Identifier types; each is a plain string or integer at run time."""

from typing import NewType

OrganisationId = NewType('OrganisationId', str)
DomainName = NewType('DomainName', str)
RackId = NewType('RackId', str)
VmId = NewType('VmId', str)
WorkerId = NewType('WorkerId', str)
BackendId = NewType('BackendId', str)
RequestId = NewType('RequestId', str)
JobId = NewType('JobId', str)
AttemptId = NewType('AttemptId', str)
# Names one write of an operator, to tell after a lost answer if it took effect.
OperationId = NewType('OperationId', str)
# Names one run of a process: a restarted process has a new incarnation.
IncarnationId = NewType('IncarnationId', str)

# Fencing epoch of a domain's active control; a worker refuses lower ones.
Epoch = NewType('Epoch', int)
# Number of an accepted configuration; each change adds one.
Revision = NewType('Revision', int)

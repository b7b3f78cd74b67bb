"""Identifier types; each is a plain string or integer at runtime."""

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
# One write of an operator; tells after a lost response if it took effect.
OperationId = NewType('OperationId', str)
# One run of a process: a restarted process has a new incarnation.
IncarnationId = NewType('IncarnationId', str)

# Fencing token of a domain's active controller; workers reject lower ones.
Epoch = NewType('Epoch', int)
# Revision of the accepted configuration; each change increments it.
Revision = NewType('Revision', int)

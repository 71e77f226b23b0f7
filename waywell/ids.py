"""Identifiers as distinct types, so that mypy reports one used for another."""

from __future__ import annotations

from typing import NewType

BoxId = NewType('BoxId', str)
"""Name of a target box, as listed by the platform."""

GroupId = NewType('GroupId', str)
"""Name of a replica group in the roster."""

NodeId = NewType('NodeId', str)
"""Name of an entry box, as given in its settings."""

Incarnation = NewType('Incarnation', int)
"""Number of one run of an entry process or of a box.

A later run of an entry process has a higher number.  The numbers of a box are
not ordered, because its clock may step back: the run that was read last is the
current one."""

ServiceName = NewType('ServiceName', str)
"""Name of a service to which callers send requests."""

AccountName = NewType('AccountName', str)
"""Name of a client account."""

HallName = NewType('HallName', str)
"""Name of a data hall."""

DomainName = NewType('DomainName', str)
"""Name of a fabric domain."""

SessionId = NewType('SessionId', str)
"""Session id chosen by the caller, unique within its client account."""

RequestId = NewType('RequestId', str)
"""Id of a request, unique within its client account."""

Trait = NewType('Trait', str)
"""Property that requests may share and that may make them crash replicas."""

Fingerprint = NewType('Fingerprint', Trait)
"""Digest of a request's content and client account, equal for each repeat."""

PromptPart = NewType('PromptPart', Trait)
"""Identifier of a part of a prompt that several requests may share."""

Epoch = NewType('Epoch', int)
"""Fencing number of a group: a target refuses work of a lower epoch than its
own."""

ModelName = NewType('ModelName', str)
"""Name of a model that replicas serve."""

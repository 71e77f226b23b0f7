"""Identifiers, each a type of its own so that they cannot be mixed up."""

from __future__ import annotations

from typing import NewType

BoxId = NewType('BoxId', str)
"""Name of a target box in the platform's box list."""

GroupId = NewType('GroupId', str)
"""Name of a replica group in the roster."""

NodeId = NewType('NodeId', str)
"""Name of an entry box, from its settings."""

Incarnation = NewType('Incarnation', int)
"""One run of an entry process, or one life of a box.  A later run of a process
has a higher number; of two lives of a box the later one is told by what was
read later, as the clock of a box may step back."""

ServiceName = NewType('ServiceName', str)
"""Name of a service that callers ask for."""

AccountName = NewType('AccountName', str)
"""Name of a client account."""

HallName = NewType('HallName', str)
"""Name of a data hall."""

DomainName = NewType('DomainName', str)
"""Name of a fabric domain."""

SessionId = NewType('SessionId', str)
"""A caller's name for a session; unique within its client account."""

RequestId = NewType('RequestId', str)
"""A caller's name for a request; unique within its client account."""

Trait = NewType('Trait', str)
"""Something that requests may share and that may crash replicas."""

Fingerprint = NewType('Fingerprint', Trait)
"""Digest of what a request asks and for whom, the same at each repeat."""

PromptPart = NewType('PromptPart', Trait)
"""Name of a part of a prompt that other requests may have as well."""

Epoch = NewType('Epoch', int)
"""Fence of a group: a target refuses work of an epoch below its own."""

ModelName = NewType('ModelName', str)
"""Name of a model that engines serve."""

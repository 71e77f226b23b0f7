"""Entries of the platform's list of servers, decoded into boxes."""

from __future__ import annotations

from types import MappingProxyType
from typing import Annotated, Any

import msgspec

from waywell.ids import (
    BoxId,
    DomainName,
    Epoch,
    GroupId,
    HallName,
    Incarnation,
    ModelName,
    ServiceName,
)
from waywell.version.fleet import (
    UNTOLD,
    FleetBox,
    MemberState,
    Standing,
)

_STATE_BY_WORD = MappingProxyType(
    {
        'joining': MemberState.JOINING,
        'ready': MemberState.READY,
        'open': MemberState.OPEN,
        'closing': MemberState.CLOSING,
        'broken': MemberState.BROKEN,
    },
)


Born = Annotated[int, msgspec.Meta(ge=1)]
"""Start of a server's life: names the life, and is compared with no clock."""


class _Model(msgspec.Struct):
    name: str


class Group(msgspec.Struct):
    """A server's place in a group, as entries and reports tell it."""

    name: str
    epoch: int
    rank: int = 0
    state: str = 'joining'


class _Server(msgspec.Struct):
    # Its ``seq_no`` is left out: here it numbers the entries that the server
    # has written, while in a report the same name counts orders taken.
    service: str
    address: str
    zone: str = ''
    # Of the box; a group has as many as one box, not the sum.
    slots: int = 1
    # Of the box's planned end, not of its group.
    state: str = 'ready'
    staged: list[Any] = []
    domain: str = ''
    group: Group | None = None
    # The start of its life by its own clock, not by the store's.
    born: Born | None = None


def decode_server(name: str, spec: Any) -> FleetBox:
    """Return the box that an entry tells of.

    Raises
    ------
    ValueError
        When it is not understood.
    """
    server = msgspec.convert(spec, _Server, strict=False)
    host, _, port = server.address.rpartition(':')
    return FleetBox(
        box=BoxId(name),
        service=ServiceName(server.service),
        host=host,
        port=int(port),
        hall=HallName(server.zone),
        domain=DomainName(server.domain),
        places=server.slots,
        leaving=server.state != 'ready',
        staged=tuple(_decode_staged(staged) for staged in server.staged),
        standing=None if server.group is None else decode_group(server.group),
        incarnation=decode_life(server.born),
    )


def decode_life(born: int | None) -> Incarnation:
    """Return which life of a server tells something."""
    return UNTOLD if born is None else Incarnation(born)


def _decode_staged(staged: Any) -> ModelName:
    """Return a staged model, which is told by name or as a table."""
    if isinstance(staged, str):
        return ModelName(staged)
    return ModelName(msgspec.convert(staged, _Model).name)


def decode_group(group: Group) -> Standing | None:
    """Return a place in a group; ``None`` for that in no group.

    Raises
    ------
    ValueError
        When its state is unknown.
    """
    if not group.name:
        return None
    if group.state not in _STATE_BY_WORD:
        raise ValueError(f'group {group.name}: state {group.state!r}')
    return Standing(
        GroupId(group.name),
        Epoch(group.epoch),
        group.rank,
        _STATE_BY_WORD[group.state],
    )

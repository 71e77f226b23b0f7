"""Entries of the platform's list of servers, decoded into boxes."""

from __future__ import annotations

from ipaddress import IPv4Address
from types import MappingProxyType
from typing import Annotated, Any, Literal

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
    UNKNOWN_INCARNATION,
    FleetBox,
    MemberState,
    Standing,
    make_group_name,
    parse_group_model,
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


HIGHEST_PORT = 65_535
"""Highest number of a TCP port."""

Born = Annotated[int, msgspec.Meta(ge=1)]
"""Start of a server's life: names the life, and is compared with no clock."""


class _Model(msgspec.Struct):
    name: str


_Count = Annotated[int, msgspec.Meta(ge=0)]
_Word = Annotated[str, msgspec.Meta(min_length=1)]


class Group(msgspec.Struct):
    """A server's place in a group, as entries and reports tell it."""

    name: str
    epoch: _Count
    rank: _Count = 0
    state: str = 'joining'


class _Server(msgspec.Struct):
    service: _Word
    address: str
    zone: str
    # Of its software, not of its weights.
    version: str
    # Of the box; a group has as many as one box, not the sum.
    slots: Annotated[int, msgspec.Meta(ge=1)]
    # Of the box's planned end, not of its group.
    state: Literal['ready', 'draining']
    cold_left_ms: float
    # Numbers the entries that the server has written, while in a report the
    # same name counts orders taken.
    seq_no: int
    staged: list[Any] = []
    domain: str = ''
    group: Group | None = None
    # The start of its life by its own clock, not by the store's.
    born: Born | msgspec.UnsetType = msgspec.UNSET


def decode_server(name: str, spec: Any) -> FleetBox:
    """Return the box that an entry tells of.

    Raises
    ------
    ValueError
        When it is not understood.
    """
    server = msgspec.convert(spec, _Server)
    host, port = _decode_address(server.address)
    return FleetBox(
        box=BoxId(name),
        service=ServiceName(server.service),
        host=host,
        port=port,
        hall=HallName(server.zone),
        domain=DomainName(server.domain),
        places=server.slots,
        leaving=server.state != 'ready',
        staged=tuple(_decode_staged(staged) for staged in server.staged),
        standing=None
        if server.group is None
        else decode_standing(server.group),
        incarnation=decode_incarnation(server.born),
        entry_number=server.seq_no,
    )


def decode_incarnation(born: int | msgspec.UnsetType) -> Incarnation:
    """Return which life of a server tells something."""
    if isinstance(born, msgspec.UnsetType):
        return UNKNOWN_INCARNATION
    return Incarnation(born)


def _decode_address(address: str) -> tuple[str, int]:
    """Return IP number and port."""
    host, _, port = address.rpartition(':')
    number = int(port)
    if not 0 < number <= HIGHEST_PORT:
        raise ValueError(f'address {address!r}: port')
    return str(IPv4Address(host)), number


def _decode_staged(staged: Any) -> ModelName:
    """Return a staged model, which is told by name or as a table."""
    if isinstance(staged, str):
        return ModelName(staged)
    return ModelName(msgspec.convert(staged, _Model).name)


def decode_standing(group: Group) -> Standing | None:
    """Return a place in a group; ``None`` for that in no group.

    Raises
    ------
    ValueError
        When its state is unknown, or no holder names groups like that.
    """
    if not group.name:
        return None
    if group.state not in _STATE_BY_WORD:
        raise ValueError(f'group {group.name}: state {group.state!r}')
    if group.name != _name_again(group):
        raise ValueError(f'group {group.name}: of another system')
    return Standing(
        GroupId(group.name),
        Epoch(group.epoch),
        group.rank,
        _STATE_BY_WORD[group.state],
    )


def _name_again(group: Group) -> str:
    """Return the name that a group of this model and epoch has."""
    return make_group_name(
        parse_group_model(GroupId(group.name)), Epoch(group.epoch)
    )

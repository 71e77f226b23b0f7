"""Entries of the platform's list of servers, decoded into boxes."""

from __future__ import annotations

from ipaddress import IPv4Address
from types import MappingProxyType
from typing import Annotated, Any, Literal

import msgspec

from waywell.bounded_types import MAX_COUNT, MAX_NUMBER, MAX_PORT, Count
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

_STATE_BY_NAME = MappingProxyType(
    {
        'joining': MemberState.JOINING,
        'ready': MemberState.READY,
        'open': MemberState.OPEN,
        'closing': MemberState.CLOSING,
        'broken': MemberState.BROKEN,
    },
)


EntryNumber = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
"""Number of an entry, or of the orders in a report."""

BirthStamp = Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)]
"""Start time of a server's incarnation.

It identifies the incarnation and is never compared with a clock.
"""


class _Model(msgspec.Struct):
    name: str


_NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]


class GroupMembership(msgspec.Struct):
    """A server's membership of a group, in entries and in reports."""

    name: str
    epoch: Count
    rank: Count = 0
    state: str = 'joining'


class _Server(msgspec.Struct):
    service: _NonEmptyText
    address: str
    zone: str
    # Version of its software, not of its weights.
    version: str
    # Slots of the box; a group has as many as one box, not the sum.
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
    # Whether the box is about to leave; not the state of its group.
    state: Literal['ready', 'draining']
    cold_left_ms: float
    # Number of this entry among those that the server has written; in a
    # report, the same field counts accepted orders.
    seq_no: EntryNumber
    staged: list[Any] = []
    domain: str = ''
    group: GroupMembership | None = None
    # Start of its incarnation by its own clock, not by the store's.
    born: BirthStamp | msgspec.UnsetType = msgspec.UNSET


def decode_server(name: str, spec: Any) -> FleetBox:
    """Return the box that an entry describes.

    Raises
    ------
    ValueError
        When the entry is invalid.
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
    """Return a server's incarnation, unknown if its birth is not reported."""
    if isinstance(born, msgspec.UnsetType):
        return UNKNOWN_INCARNATION
    return Incarnation(born)


def _decode_address(address: str) -> tuple[str, int]:
    """Return the IP address and port."""
    host, _, port = address.rpartition(':')
    number = int(port)
    if not 0 < number <= MAX_PORT:
        raise ValueError(f'address {address!r}: port')
    return str(IPv4Address(host)), number


def _decode_staged(staged: Any) -> ModelName:
    """Return a staged model, given by its name or as a table."""
    if isinstance(staged, str):
        return ModelName(staged)
    return ModelName(msgspec.convert(staged, _Model).name)


def decode_standing(group: GroupMembership) -> Standing | None:
    """Return a server's standing in its group, or ``None`` without a group.

    Raises
    ------
    ValueError
        When the state is unknown or the name is not one that waywell makes.
    """
    if not group.name:
        return None
    if group.state not in _STATE_BY_NAME:
        raise ValueError(f'group {group.name}: state {group.state!r}')
    if group.name != _rebuild_name(group):
        raise ValueError(f'group {group.name}: of another system')
    return Standing(
        GroupId(group.name),
        Epoch(group.epoch),
        group.rank,
        _STATE_BY_NAME[group.state],
    )


def _rebuild_name(group: GroupMembership) -> str:
    """Return the name for the model and epoch of a group."""
    return make_group_name(
        parse_group_model(GroupId(group.name)), Epoch(group.epoch)
    )

"""Interface of the platform's object API."""

from __future__ import annotations

import abc
import enum
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

ANY_VERSION = -1
"""Expected version of a write that replaces any stored version."""


class Kind(enum.Enum):
    """Kind of an object that the system reads or writes."""

    CONFIGURATION = 'configuration'
    """Configuration document, a single object."""

    ROSTER = 'roster'
    """Roster document, a single object."""

    BOX = 'box'
    """Box list, with one object per box."""

    LEASE = 'lease'
    """Leases of duties, with one object per duty."""

    PRESENCE = 'presence'
    """Entry boxes, with one object per data hall."""

    HELD_REQUEST = 'held_request'
    """Requests that crash replicas, with one object per request."""

    CLAIM = 'claim'
    """Request ids made up by callers, with one object per id."""


class Stored(msgspec.Struct, frozen=True):
    """Object of the store with its version."""

    kind: str
    """Kind of the object."""

    name: str
    """Name within its kind."""

    version: int
    """Version of the object, which rises with each write."""

    body: Any = None
    """Plain JSON values; ``None`` in a watch for a deleted object."""


class Changes(msgspec.Struct, frozen=True):
    """Objects returned by a watch or a list call."""

    revision: int
    """Revision from which the next watch continues."""

    objects: tuple[Stored, ...] = ()
    """Changed objects; deleted ones have no body."""

    complete: bool = False
    """Whether all objects are included, not only changed ones."""

    unreadable: tuple[str, ...] = ()
    """Names of objects left out because they can't be decoded."""

    nameless: int = 0
    """Number of objects of which not even the name can be decoded."""


class PlatformFault(enum.Enum):
    """Reason for which a call to the platform failed."""

    CONFLICT = 'conflict'
    """Another version than the expected one is stored; nothing was written."""

    NOT_SENT = 'not_sent'
    """No connection to the platform; nothing was written."""

    NOT_LISTENING = 'not_listening'
    """The connection was refused; nothing was written."""

    UNANSWERED = 'unanswered'
    """No answer arrived; a write may have taken effect."""

    TOO_LARGE = 'too_large'
    """The body exceeds the platform's size limit; nothing was written."""

    HISTORY_GONE = 'history_gone'
    """The revision at which a watch starts is no longer kept."""

    UNREADABLE = 'unreadable'
    """The stored object can't be decoded."""

    REFUSED = 'refused'
    """The platform answered with an error; nothing was written."""

    FORMER_ERA = 'former_era'
    """The answer dates from before the store was restored from a copy."""


class Platform(abc.ABC):
    """Calls of the object API, with one subclass per protocol."""

    @abc.abstractmethod
    async def fetch(
        self,
        kind: Kind,
        name: str,
        fresh: bool = True,
    ) -> Result[Stored | None, PlatformFault]:
        """Return an object, or ``None`` if it does not exist.

        Parameters
        ----------
        kind
            Kind of the object.
        name
            Name of the object.
        fresh
            Whether the answer must not be seconds old.
        """

    @abc.abstractmethod
    async def fetch_all(
        self,
        kind: Kind,
        fresh: bool = True,
    ) -> Result[Changes, PlatformFault]:
        """Return all objects of a kind and the revision to watch from.

        Parameters
        ----------
        kind
            Kind of the objects.
        fresh
            Whether the answer must not be seconds old.
        """

    @abc.abstractmethod
    async def write(
        self,
        kind: Kind,
        name: str,
        body: Any,
        expected: int,
    ) -> Result[Stored, PlatformFault]:
        """Write an object if its version is the expected one.

        Parameters
        ----------
        kind
            Kind of the object.
        name
            Name of the object.
        body
            Content as plain JSON values.
        expected
            Version that must be stored; 0 if the object must not exist.
        """

    @abc.abstractmethod
    async def delete(
        self,
        kind: Kind,
        name: str,
    ) -> Result[None, PlatformFault]:
        """Delete an object, whatever its version."""

    @abc.abstractmethod
    async def watch(
        self,
        kinds: Sequence[Kind],
        after: int,
        seconds: float,
    ) -> Result[Changes, PlatformFault]:
        """Return the changes after a revision.

        Parameters
        ----------
        kinds
            Kinds of the objects.
        after
            Revision after which changes are returned.
        seconds
            Time to wait for a change, in seconds.
        """

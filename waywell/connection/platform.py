"""The platform's object API, as the system needs it."""

from __future__ import annotations

import abc
import enum
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

ANY_VERSION = -1
"""Expected version of a write that takes any version."""


class Kind(enum.Enum):
    """Kinds of objects that the system reads and writes."""

    CONFIGURATION = 'configuration'
    """One object: the configuration document."""

    ROSTER = 'roster'
    """One object: the roster document."""

    BOX = 'box'
    """The box list, one object a box."""

    LEASE = 'lease'
    """One object a duty."""

    PRESENCE = 'presence'
    """One object a data hall: its entry boxes."""

    HELD_REQUEST = 'held_request'
    """One object a request that crashes replicas."""

    CLAIM = 'claim'
    """One object a request id that a caller made up."""


class Stored(msgspec.Struct, frozen=True):
    """An object with its version."""

    kind: str
    """Kind of the object."""

    name: str
    """Name within its kind."""

    version: int
    """Version of the object; rises with each write."""

    body: Any = None
    """Plain JSON values; ``None`` in a watch means deleted."""


class Changes(msgspec.Struct, frozen=True):
    """What a watch returned."""

    revision: int
    """Where the next watch goes on."""

    objects: tuple[Stored, ...] = ()
    """Objects that changed, deleted ones without a body."""

    complete: bool = False
    """Whether these are all objects, not only what changed."""

    unreadable: tuple[str, ...] = ()
    """Names of objects that are not understood, and so left out."""

    nameless: int = 0
    """Objects that are not understood and don't even tell a name."""


class PlatformFault(enum.Enum):
    """Why a call to the platform failed."""

    CONFLICT = 'conflict'
    """The expected version is not the stored one; nothing was written."""

    NOT_SENT = 'not_sent'
    """The platform was not reached; nothing was written."""

    NOT_LISTENING = 'not_listening'
    """Nothing listens at the address; nothing was written."""

    UNANSWERED = 'unanswered'
    """No answer came: a write may have taken effect."""

    TOO_LARGE = 'too_large'
    """The body is over the platform's limit; nothing was written."""

    HISTORY_GONE = 'history_gone'
    """A watch asked from a revision that is no longer kept."""

    UNREADABLE = 'unreadable'
    """What is stored is not understood."""

    REFUSED = 'refused'
    """The platform answered with an error; nothing was written."""

    FORMER_ERA = 'former_era'
    """The answer is older than the store's return from a copy."""


class Platform(abc.ABC):
    """The calls of the object API; another protocol is another subclass."""

    @abc.abstractmethod
    async def fetch(
        self,
        kind: Kind,
        name: str,
        fresh: bool = True,
    ) -> Result[Stored | None, PlatformFault]:
        """Return an object, or ``None`` where there is none.

        Parameters
        ----------
        kind
            Kind of the object.
        name
            Its name.
        fresh
            Whether an answer that is seconds old won't do.
        """

    @abc.abstractmethod
    async def fetch_all(
        self,
        kind: Kind,
        fresh: bool = True,
    ) -> Result[Changes, PlatformFault]:
        """Return all objects of a kind and where a watch goes on.

        Parameters
        ----------
        kind
            Kind of the objects.
        fresh
            Whether an answer that is seconds old won't do.
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
            Its name.
        body
            Plain JSON values.
        expected
            Version that it must have; 0 when it must not exist.
        """

    @abc.abstractmethod
    async def delete(
        self,
        kind: Kind,
        name: str,
    ) -> Result[None, PlatformFault]:
        """Delete an object."""

    @abc.abstractmethod
    async def watch(
        self,
        kinds: Sequence[Kind],
        after: int,
        seconds: float,
    ) -> Result[Changes, PlatformFault]:
        """Wait for changes after a revision, up to some seconds."""

"""Types of values that another writer may have stored out of range."""

from __future__ import annotations

from typing import Annotated

import msgspec

MAX_NUMBER = 9_223_372_036_854_775_807
"""Largest number that a message between nodes can hold."""

MAX_VERSION = 1_000_000_000_000
"""Largest version or term, from which larger numbers are derived."""

MAX_COUNT = 1_000_000
"""Largest plausible number of things in one box."""

MAX_PORT = 65_535
"""Highest number of a TCP port."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
"""Number that messages between nodes can hold."""

SmallCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
"""Number of things in one box."""

VersionNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]
"""Version of a document, or term of a lease."""

Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
"""Number of a TCP port."""

HostAddress = Annotated[str, msgspec.Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}$')]
"""IPv4 address."""

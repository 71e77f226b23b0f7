"""Settings of a front daemon, read from TOML and checked whole."""

from __future__ import annotations

import attrs

from waywell.request.resend_budget import ResendLimits
from waywell.telemetry.timing import TimingSettings
from waywell.version.input_validation import InvalidInputError, structure_input
from waywell.version.toml_text import read_text, read_toml

MS = 0.001
"""Seconds in a millisecond."""


@attrs.frozen
class Address:
    """Where one of the daemon's ports is."""

    host: str
    """IP number."""

    port: int
    """Port number."""


@attrs.frozen
class FrontNodeSettings:
    """Who and where this entry box is."""

    name: str
    """Name of the entry box, unique in the system."""

    hall: str
    """Data hall that it stands in."""

    region: str = 'default'
    """Region of the data hall."""

    host: str = '127.0.0.1'
    """IP number by which others reach it."""

    callers: str = ''
    """Address for callers, ``IP:PORT``."""

    readiness: str = ''
    """Address at which it says whether it serves."""

    directory: str = ''
    """Address of the entry list."""

    peers: str = ''
    """Address for other entry boxes."""

    metrics_port: int = 0
    """Port for metrics and the state dump; 0 takes a free one."""

    first_start: bool = False
    """Whether the whole system starts for the first time: callers are seconds
    away, so this node may wait for others to read for it."""

    link_mbps: float = 0.0
    """Bandwidth of its link, in Mbit/s; 0 where it is not known."""

    processor_share: float = 0.0
    """Part of a core that it may use; 0 where it is not known."""

    processor_speed: float = 1.0
    """How many times as fast as an ordinary box's core that core is."""

    @property
    def cores(self) -> float:
        """Return the processor that it may use, in ordinary cores."""
        return self.processor_share * self.processor_speed


@attrs.frozen
class StoreSettings:
    """The platform's store."""

    address: str
    """``IP:PORT``."""

    timeout: float = 1.0
    """Seconds until a call counts as unanswered."""


@attrs.frozen
class PromiseSettings:
    """Bounds that the operators were promised, as far as code reads them."""

    keys_refused_within_ms: float = 5000.0
    """From the word that a key is removed until every node refuses it, in the
    platform's unit."""

    keys_strict: bool = True
    """Whether requests are refused rather than served by routes that may hold
    removed keys, when nobody has confirmed them within that bound."""

    leaving_within_ms: float = 2000.0
    """From the word that a box leaves until no node sends it anything new, in
    the platform's unit."""

    applied_within_ms: float = 2000.0
    """From the acknowledgement of a configuration until every node serves by
    it, in the platform's unit."""

    stalled_within_ms: float = 6000.0
    """From the loss of a box until the head of its group has given up, in the
    platform's unit."""

    stop_within: float = 8.0
    """Seconds from the order to stop until the process is ended by force."""

    entry_list_kept: float = 2.0
    """Seconds for which callers may keep the entry list."""

    entry_list_most: float = 5.0
    """Most seconds of which the platform's callers take notice there."""

    @property
    def entry_list_term(self) -> float:
        """Return for how long callers may keep the entry list, in seconds."""
        return min(self.entry_list_kept, self.entry_list_most)

    @property
    def group_stall(self) -> float:
        """Return for how long a group may stand still, in seconds."""
        return self.stalled_within_ms * MS

    @property
    def leaving_within(self) -> float:
        """Return the bound for leaving boxes, in seconds."""
        return self.leaving_within_ms * MS

    @property
    def applied_within(self) -> float:
        """Return the bound for new routes, in seconds."""
        return self.applied_within_ms * MS

    @property
    def keys_refused_within(self) -> float:
        """Return the bound for removed keys, in seconds."""
        return self.keys_refused_within_ms * MS


@attrs.frozen
class FrontSettings:
    """All settings of a front daemon."""

    node: FrontNodeSettings
    """Who and where."""

    store: StoreSettings
    """The platform's store."""

    promises: PromiseSettings = PromiseSettings()
    """Bounds."""

    resends: ResendLimits = ResendLimits()
    """Second sends."""

    timing: TimingSettings = TimingSettings()
    """Periods of membership and leases."""

    seeds: list[str] = attrs.Factory(list)
    """Peer addresses, ``IP:PORT``, to join by."""

    log_level: str = 'INFO'
    """Least level that is logged."""


def parse_address(text: str) -> Address:
    """Return the address that ``IP:PORT`` names.

    Raises
    ------
    InvalidInputError
        When it has another form.
    """
    host, mark, port = text.rpartition(':')
    if not mark or not port.isdecimal():
        raise InvalidInputError([f'{text!r}: IP:PORT'])
    return Address(host, int(port))


def check_front_settings(text: str, place: str) -> FrontSettings:
    """Turn TOML text into settings.

    Raises
    ------
    InvalidInputError
        With every fault found.
    """
    settings = structure_input(read_toml(text, place), FrontSettings, place)
    faults = [
        *_find_bad_addresses(settings),
        *_find_bad_bounds(settings),
    ]
    if faults:
        raise InvalidInputError(f'{place}.{fault}' for fault in faults)
    return settings


def load_front_settings(path: str) -> FrontSettings:
    """Read settings from a file.

    Raises
    ------
    InvalidInputError
        With every fault found, or the reason why the file can't be read.
    """
    return check_front_settings(read_text(path), path)


def _find_bad_addresses(settings: FrontSettings) -> list[str]:
    node = settings.node
    addresses = {
        'node.callers': node.callers,
        'node.readiness': node.readiness,
        'node.directory': node.directory,
        'node.peers': node.peers,
        'store.address': settings.store.address,
    }
    faults = []
    for key, text in addresses.items():
        try:
            parse_address(text)
        except InvalidInputError as error:
            faults.append(f'{key}: {error}')
    return faults


def _find_bad_bounds(settings: FrontSettings) -> list[str]:
    bounds = {
        f'{part}.{name}': bound
        for part in ('promises', 'resends', 'timing')
        for name, bound in attrs.asdict(getattr(settings, part)).items()
    }
    return [
        f'{name}: above 0'
        for name, bound in bounds.items()
        if not isinstance(bound, bool) and bound <= 0
    ]

"""Settings of a front daemon, read from TOML and validated as a whole."""

from __future__ import annotations

import attrs

from waywell.process.front_drain import DrainTimes, make_drain_times
from waywell.request.resend_budget import ResendLimits
from waywell.telemetry.timing import TimingSettings
from waywell.version.input_validation import InvalidInputError, structure_input
from waywell.version.toml_text import read_text, read_toml

MS = 0.001
"""One millisecond, in seconds."""


@attrs.frozen
class Address:
    """Address of a TCP port."""

    host: str
    """IP address."""

    port: int
    """TCP port number; 0 listens on a free port."""


@attrs.frozen
class FrontNodeSettings:
    """Identity and addresses of the entry box."""

    name: str
    """Name of the entry box, unique in the system."""

    hall: str
    """Data hall in which the entry box is located."""

    region: str = 'default'
    """Region of the data hall."""

    host: str = '127.0.0.1'
    """IP address at which others reach the entry box."""

    callers: str = ''
    """Address to listen on for callers, ``IP:PORT``."""

    readiness: str = ''
    """Address to listen on for readiness checks, ``IP:PORT``."""

    directory: str = ''
    """Address to listen on for calls for the entry list, ``IP:PORT``."""

    peers: str = ''
    """Address to listen on for other entry boxes, ``IP:PORT``."""

    metrics_port: int = 0
    """Port for metrics and the state dump; 0 listens on a free port."""

    first_start: bool = False
    """Whether the whole system starts for the first time: callers come only
    seconds later, so this node may wait for others to read the platform."""

    link_mbps: float = 0.0
    """Bandwidth of the box's network link, in Mbit/s; 0 if unknown."""

    processor_share: float = 0.0
    """Share of a core that the process may use; 0 if unknown."""

    processor_speed: float = 1.0
    """Speed of that core relative to the core of an ordinary box."""

    memory_mb: float = 0.0
    """Memory that the process may use, in megabytes; 0 for that of the
    machine."""

    max_descriptors: int = 0
    """Descriptors that the process may have open; 0 for its resource
    limit."""

    @property
    def cores(self) -> float:
        """Return the available processor capacity, in ordinary cores."""
        return self.processor_share * self.processor_speed


@attrs.frozen
class StoreSettings:
    """Connection to the platform's store."""

    address: str
    """Address of the store, ``IP:PORT``."""

    timeout: float = 1.0
    """Timeout of a call to the store, in seconds."""


@attrs.frozen
class PromiseSettings:
    """Service-level bounds that the node keeps towards operators."""

    keys_refused_within_ms: float = 5000.0
    """Maximum time from the removal of a key until every node refuses it, in
    milliseconds as in the platform's settings."""

    keys_strict: bool = True
    """Whether requests are refused when the routes, which may contain removed
    keys, were not confirmed within that bound."""

    leaving_within_ms: float = 2000.0
    """Maximum time from the announcement that a box leaves until no node sends
    it new requests, in milliseconds."""

    applied_within_ms: float = 2000.0
    """Maximum time from the acknowledgement of a configuration until every
    node serves by it, in milliseconds."""

    stalled_within_ms: float = 6000.0
    """Maximum time from the loss of a box until the head of its group has
    given up, in milliseconds."""

    stop_within: float = 8.0
    """Time from the signal to stop until the process is killed, in seconds."""

    cut_answers_within: float = 3.0
    """Time after the signal to stop within which a request may be sent whose
    answer the end of the node cuts if its replica still works, in seconds.
    Answers to later requests are cut at their deadline only."""

    entry_list_kept: float = 1.0
    """Time for which callers may keep the entry list, in seconds."""

    entry_list_most: float = 5.0
    """Maximum of that time that the platform's callers accept, in seconds."""

    @property
    def entry_list_term(self) -> float:
        """Return how long callers may keep the entry list, in seconds."""
        return min(self.entry_list_kept, self.entry_list_most)

    def make_drain_times(self, now: float) -> DrainTimes:
        """Return the times of a stop that begins at ``now``, in seconds."""
        return make_drain_times(
            now,
            stop_within=self.stop_within,
            cut_answers_within=self.cut_answers_within,
            entry_list_term=self.entry_list_term,
        )

    @property
    def group_stall(self) -> float:
        """Return how long a group may stall after a loss, in seconds."""
        return self.stalled_within_ms * MS

    @property
    def leaving_within(self) -> float:
        """Return the bound for leaving boxes, in seconds."""
        return self.leaving_within_ms * MS

    @property
    def applied_within(self) -> float:
        """Return the bound for applying new routes, in seconds."""
        return self.applied_within_ms * MS

    @property
    def keys_refused_within(self) -> float:
        """Return the bound for refusing removed keys, in seconds."""
        return self.keys_refused_within_ms * MS


@attrs.frozen
class FrontSettings:
    """All settings of a front daemon."""

    node: FrontNodeSettings
    """Identity and addresses of the entry box."""

    store: StoreSettings
    """Connection to the platform's store."""

    promises: PromiseSettings = PromiseSettings()
    """Service-level bounds towards operators."""

    resends: ResendLimits = ResendLimits()
    """Limits of sending a request again."""

    timing: TimingSettings = TimingSettings()
    """Periods and terms of membership and leases."""

    seeds: list[str] = attrs.Factory(list)
    """Peer addresses, ``IP:PORT``, of entry boxes to join."""

    log_level: str = 'INFO'
    """Lowest level of events to log."""


def parse_address(text: str) -> Address:
    """Return the address in a text of the form ``IP:PORT``.

    Raises
    ------
    InvalidInputError
        When the text has another form.
    """
    host, mark, port = text.rpartition(':')
    if not mark or not port.isdecimal():
        raise InvalidInputError([f'{text!r}: must have the form IP:PORT'])
    return Address(host, int(port))


def check_front_settings(text: str, place: str) -> FrontSettings:
    """Parse and validate settings.

    Parameters
    ----------
    text
        Settings in TOML.
    place
        Name of the source of the text, for error messages.

    Raises
    ------
    InvalidInputError
        With all faults found.
    """
    settings = structure_input(read_toml(text, place), FrontSettings, place)
    faults = [
        *_find_bad_addresses(settings),
        *_find_bad_bounds(settings),
        *_find_bad_memory(settings),
    ]
    if faults:
        raise InvalidInputError(f'{place}.{fault}' for fault in faults)
    return settings


def load_front_settings(path: str) -> FrontSettings:
    """Read settings from a file.

    Raises
    ------
    InvalidInputError
        With all faults found, or the reason why the file can't be read.
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


def _find_bad_memory(settings: FrontSettings) -> list[str]:
    return [
        f'node.{name}: must not be below 0'
        for name in ('memory_mb', 'max_descriptors')
        if getattr(settings.node, name) < 0
    ]


def _find_bad_bounds(settings: FrontSettings) -> list[str]:
    bounds = {
        f'{part}.{name}': bound
        for part in ('promises', 'resends', 'timing')
        for name, bound in attrs.asdict(getattr(settings, part)).items()
    }
    return [
        f'{name}: must be above 0'
        for name, bound in bounds.items()
        if not isinstance(bound, bool) and bound <= 0
    ]

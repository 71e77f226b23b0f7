"""Settings of an entry daemon, read from TOML and checked whole."""

from __future__ import annotations

import ipaddress
import re

import attrs

from waywell.telemetry.timing import TimingSettings
from waywell.version.input_validation import InvalidInputError, structure_input
from waywell.version.toml_text import read_text, read_toml

_NAME = re.compile(r'[A-Za-z0-9._-]{1,64}')

PORT_KEYS = ('caller_port', 'peer_port', 'admin_port', 'shown_peer_port')
"""Settings of a node that are port numbers."""

HIGHEST_PORT = 65_535
"""Highest port number."""


@attrs.frozen
class NodeSettings:
    """Who and where this entry box is."""

    name: str
    """Name of the entry box, unique in the system."""

    hall: str
    """Data hall that it stands in."""

    region: str = 'default'
    """Region of the data hall."""

    host: str = '127.0.0.1'
    """IP number that it listens on and that others reach it by."""

    caller_port: int = 0
    """Port for callers; 0 takes a free one."""

    peer_port: int = 0
    """Port for other entry boxes; 0 takes a free one."""

    admin_port: int = 0
    """Port for operators; 0 takes a free one."""

    shown_peer_port: int = 0
    """Port at which others reach the peer port, where it is another one."""


@attrs.frozen
class PlatformSettings:
    """Where the platform's object API is."""

    url: str
    """Base address, ``http://IP:PORT``."""

    timeout: float = 3.0
    """Seconds until a call counts as unanswered."""


@attrs.frozen
class LimitSettings:
    """What one entry box carries."""

    body_bytes: int = 8_000_000
    """Largest request body."""

    requests: int = 2000
    """Requests in flight at once."""

    connect_seconds: float = 2.0
    """Seconds to connect to a target."""


@attrs.frozen
class Settings:
    """All settings of an entry daemon."""

    node: NodeSettings
    """Who and where."""

    platform: PlatformSettings
    """The platform's object API."""

    limits: LimitSettings = LimitSettings()
    """What it carries."""

    timing: TimingSettings = TimingSettings()
    """Periods and bounds."""

    seeds: list[str] = attrs.Factory(list)
    """Peer addresses, ``IP:PORT``, to join by while the platform is down."""

    bootstrap_key_hashes: list[str] = attrs.Factory(list)
    """Hashes of operators' keys for the time before a configuration."""

    history: str = ''
    """File to write the history of requests to; empty writes none."""

    log_level: str = 'INFO'
    """Least level that is logged."""


def check_settings(text: str, place: str) -> Settings:
    """Turn TOML text into settings.

    Raises
    ------
    InvalidInputError
        With every fault found.
    """
    settings = structure_input(read_toml(text, place), Settings, place)
    faults = [
        *_find_bad_node(settings.node),
        *_find_bad_timing(settings.timing),
        *_find_bad_platform(settings.platform),
    ]
    if faults:
        raise InvalidInputError(f'{place}.{fault}' for fault in faults)
    return settings


def load_settings(path: str) -> Settings:
    """Read settings from a file.

    Raises
    ------
    InvalidInputError
        With every fault found, or the reason why the file can't be read.
    """
    return check_settings(read_text(path), path)


def _find_bad_node(node: NodeSettings) -> list[str]:
    faults = [
        f'node.{key}: 1 to 64 of letters, digits and ._-'
        for key in ('name', 'hall', 'region')
        if not _NAME.fullmatch(getattr(node, key))
    ]
    try:
        ipaddress.ip_address(node.host)
    except ValueError:
        faults.append('node.host: an IP number')
    faults.extend(
        f'node.{key}: 0 to {HIGHEST_PORT}'
        for key in PORT_KEYS
        if not 0 <= getattr(node, key) <= HIGHEST_PORT
    )
    return faults


def _find_bad_timing(timing: TimingSettings) -> list[str]:
    faults = [
        f'timing.{field.name}: above 0'
        for field in attrs.fields(TimingSettings)
        if getattr(timing, field.name) <= 0
    ]
    if timing.silence <= timing.beat:
        faults.append('timing.silence: above timing.beat')
    return faults


def _find_bad_platform(platform: PlatformSettings) -> list[str]:
    if platform.url.startswith('http://'):
        return []
    return ['platform.url: http://IP:PORT']

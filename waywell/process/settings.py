"""Settings of an entry daemon, read from TOML and validated as a whole."""

from __future__ import annotations

import ipaddress
import re

import attrs

from waywell.telemetry.timing import TimingSettings
from waywell.version.input_validation import InvalidInputError, structure_input
from waywell.version.toml_text import read_text, read_toml

_NAME = re.compile(r'[A-Za-z0-9._-]{1,64}')

PORT_KEYS = ('caller_port', 'peer_port', 'admin_port', 'shown_peer_port')
"""Names of the fields of ``NodeSettings`` that hold port numbers."""

HIGHEST_PORT = 65_535
"""Highest valid TCP port number."""


@attrs.frozen
class NodeSettings:
    """Identity and addresses of the entry box."""

    name: str
    """Name of the entry box, unique in the system."""

    hall: str
    """Data hall in which the entry box is located."""

    region: str = 'default'
    """Region of the data hall."""

    host: str = '127.0.0.1'
    """IP address to listen on, at which others reach the entry box."""

    caller_port: int = 0
    """Port for callers; 0 listens on a free port."""

    peer_port: int = 0
    """Port for other entry boxes; 0 listens on a free port."""

    admin_port: int = 0
    """Port for operators; 0 listens on a free port."""

    shown_peer_port: int = 0
    """Port announced to other entry boxes, if it differs from the peer port;
    0 announces the peer port."""

    memory_mb: float = 0.0
    """Memory that the process may use, in megabytes; 0 for that of the
    machine."""

    max_descriptors: int = 0
    """Descriptors that the process may have open; 0 for its resource
    limit."""


@attrs.frozen
class PlatformSettings:
    """Connection to the platform's object API."""

    url: str
    """Base URL, ``http://IP:PORT``."""

    timeout: float = 3.0
    """Timeout of a call to the platform, in seconds."""


@attrs.frozen
class LimitSettings:
    """Limits of one entry box."""

    body_bytes: int = 8_000_000
    """Maximum size of a request body, in bytes."""

    requests: int = 2000
    """Maximum number of requests in flight."""

    connect_seconds: float = 2.0
    """Timeout of connecting to a target, in seconds."""


@attrs.frozen
class Settings:
    """All settings of an entry daemon."""

    node: NodeSettings
    """Identity and addresses of the entry box."""

    platform: PlatformSettings
    """Connection to the platform's object API."""

    limits: LimitSettings = LimitSettings()
    """Limits of the entry box."""

    timing: TimingSettings = TimingSettings()
    """Periods, terms and timeouts."""

    seeds: list[str] = attrs.Factory(list)
    """Peer addresses, ``IP:PORT``, to join even while the platform is down."""

    bootstrap_key_hashes: list[str] = attrs.Factory(list)
    """Hashes of operators' keys that work without any configuration."""

    history: str = ''
    """Path of the file for the history of requests; empty for no history."""

    log_level: str = 'INFO'
    """Lowest level of events to log."""


def check_settings(text: str, place: str) -> Settings:
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
    settings = structure_input(read_toml(text, place), Settings, place)
    faults = [
        *_find_node_faults(settings.node),
        *_find_timing_faults(settings.timing),
        *_find_platform_faults(settings.platform),
    ]
    if faults:
        raise InvalidInputError(f'{place}.{fault}' for fault in faults)
    return settings


def load_settings(path: str) -> Settings:
    """Read settings from a file.

    Raises
    ------
    InvalidInputError
        With all faults found, or the reason why the file can't be read.
    """
    return check_settings(read_text(path), path)


def _find_node_faults(node: NodeSettings) -> list[str]:
    faults = [
        f'node.{key}: must be 1 to 64 letters, digits or ._-'
        for key in ('name', 'hall', 'region')
        if not _NAME.fullmatch(getattr(node, key))
    ]
    try:
        ipaddress.ip_address(node.host)
    except ValueError:
        faults.append('node.host: must be an IP address')
    faults.extend(
        f'node.{key}: must not be below 0'
        for key in ('memory_mb', 'max_descriptors')
        if getattr(node, key) < 0
    )
    faults.extend(
        f'node.{key}: must be 0 to {HIGHEST_PORT}'
        for key in PORT_KEYS
        if not 0 <= getattr(node, key) <= HIGHEST_PORT
    )
    return faults


def _find_timing_faults(timing: TimingSettings) -> list[str]:
    faults = [
        f'timing.{field.name}: must be above 0'
        for field in attrs.fields(TimingSettings)
        if getattr(timing, field.name) <= 0
    ]
    if timing.silence <= timing.beat:
        faults.append('timing.silence: must be above timing.beat')
    return faults


def _find_platform_faults(platform: PlatformSettings) -> list[str]:
    if platform.url.startswith('http://'):
        return []
    return ['platform.url: must have the form http://IP:PORT']

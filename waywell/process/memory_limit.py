"""The memory and the descriptors that a process may use."""

from __future__ import annotations

import os
import resource

from waywell.connection.caller_capacity import (
    CallerCapacity,
    make_caller_capacity,
)

UNLIMITED_DESCRIPTORS = 65_536
"""Descriptors assumed where the system has no limit."""

BYTES_PER_MB = 1_048_576
"""Bytes in the megabytes of settings."""


def find_memory_limit(setting_mb: float) -> int:
    """Return how much memory this process may use, in bytes.

    Parameters
    ----------
    setting_mb
        Limit in the settings, in megabytes; 0 for that of the machine, which
        is its memory or, if that is less, the resource limit of the process.
    """
    if setting_mb:
        return int(setting_mb * BYTES_PER_MB)
    limits = [os.sysconf('SC_PAGE_SIZE') * os.sysconf('SC_PHYS_PAGES')]
    for kind in (resource.RLIMIT_AS, resource.RLIMIT_DATA):
        soft, _hard = resource.getrlimit(kind)
        if soft != resource.RLIM_INFINITY:
            limits.append(soft)
    return min(limits)


def find_descriptor_limit(setting: int) -> int:
    """Return how many descriptors this process may have open.

    Parameters
    ----------
    setting
        Limit in the settings; 0 for the resource limit of the process.
    """
    soft, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return setting or UNLIMITED_DESCRIPTORS
    return min(soft, setting or soft)


def make_capacity(memory_mb: float, descriptors: int) -> CallerCapacity:
    """Return what callers may occupy by the settings of a node."""
    return make_caller_capacity(
        find_memory_limit(memory_mb), find_descriptor_limit(descriptors)
    )


def describe_memory(capacity: CallerCapacity) -> dict[str, int]:
    """Return the memory of callers and of the process, in bytes.

    Source of the latter: the second field of ``/proc/self/statm``, in pages.
    """
    with open('/proc/self/statm', encoding='ascii') as statm:
        pages = int(statm.read().split()[1])
    return {
        'caller_limit': capacity.memory.limit,
        'callers': capacity.memory.held,
        'resident': pages * os.sysconf('SC_PAGE_SIZE'),
    }

"""Client that sends one request on a new connection and keeps its answer."""

from __future__ import annotations

import http.client
import threading
import time
from dataclasses import dataclass

HOST = 'shop.example'
"""Host of all routes."""

KEY = 'key-of-shop'
"""Key of the only tenant."""


@dataclass
class Call:
    """One client attempt."""

    attempt: str
    """Id of the attempt."""

    sent_at: float = 0.0
    """When it was sent, in seconds."""

    answered_at: float = 0.0
    """When its answer or its failure was complete, in seconds."""

    status: int = 0
    """Status of the answer; 0 without one."""

    body: bytes = b''
    """Body of the answer."""

    fault: str = ''
    """Why there is no whole answer."""


def send(
    port: int,
    attempt: str,
    path: str,
    deadline_ms: int,
    method: str = 'POST',
    headers: dict[str, str] | None = None,
) -> Call:
    """Send a request and return the call with its answer."""
    call = Call(attempt, time.monotonic())
    connection = http.client.HTTPConnection(
        '127.0.0.1', port, timeout=deadline_ms / 1000
    )
    try:
        connection.request(
            method,
            path,
            b'{"a": 1}' if method == 'POST' else None,
            {
                'Host': HOST,
                'X-Request-Attempt-Id': attempt,
                'X-Deadline-Ms': str(deadline_ms),
                'Authorization': f'Bearer {KEY}',
                **(headers or {}),
            },
        )
        answer = connection.getresponse()
        call.status = answer.status
        call.body = answer.read()
    except (OSError, http.client.HTTPException) as error:
        call.fault = repr(error)
    finally:
        connection.close()
    call.answered_at = time.monotonic()
    return call


class Crowd:
    """Requests that are sent at the same time."""

    def __init__(self) -> None:
        """Start without a request."""
        self.calls: list[Call] = []
        self._threads: list[threading.Thread] = []

    def send(self, *details: object, **more: object) -> None:
        """Send a request in a thread of its own."""

        def run() -> None:
            self.calls.append(send(*details, **more))

        thread = threading.Thread(target=run, daemon=True)
        self._threads.append(thread)
        thread.start()

    def wait(self, seconds: float) -> None:
        """Wait until all requests have ended."""
        ends_at = time.monotonic() + seconds
        for thread in self._threads:
            thread.join(max(0.0, ends_at - time.monotonic()))

"""Requests that a dispatcher accepts while its node leaves."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest.mock import Mock

import pytest

from tests.manual_clock import ManualClock
from waywell.codes import Code, Ran, Refusal
from waywell.ids import NodeId
from waywell.process.documents import InForce
from waywell.request.admission import Admission, Drain
from waywell.request.dispatcher import Dispatcher, DispatcherParts, NodeFacts
from waywell.request.submission import Submission
from waywell.standins.harness import CALLER_KEY, hash_text
from waywell.version.document import Document, DocumentKind

ENTRIES: dict[str, Any] = {
    'service/app': {
        'name': 'app',
        'type': 'plain',
        'fenced': False,
        'timeout': 30.0,
    },
    'serving/all': {'name': 'all'},
    'account/desk': {'name': 'desk', 'key_hashes': [hash_text(CALLER_KEY)]},
}


def list_entries() -> dict[str, Any]:
    """Return an entry list that still has the leaving node ``e1``."""
    return {
        'entries': [
            {'node': f'e{number}', 'host': f'10.0.0.{number}', 'port': 80}
            for number in (1, 2, 3)
        ],
    }


class ClaimedError(Exception):
    """A request was claimed, which is the step after its admission."""


class Claims:
    """Claims that count the requests and end them."""

    def __init__(self) -> None:
        self.count = 0

    async def claim(self, _work: object) -> None:
        self.count += 1
        raise ClaimedError


class LeavingNode:
    """A dispatcher whose drain ends at 20 s of its clock, which is at 0."""

    def __init__(self) -> None:
        clock = ManualClock()
        clock.now = 0.0
        in_force = InForce()
        in_force.adopt(DocumentKind.CONFIGURATION, Document(1, ENTRIES))
        self.admission = Admission(10)
        self.claims = Claims()
        parts = DispatcherParts(
            in_force=in_force,
            health=Mock(),
            service_loads=Mock(),
            admission=self.admission,
            budget=Mock(),
            claims=self.claims,  # type: ignore[arg-type]
            target=Mock(),
            clock=clock,
            history=Mock(),
            random=Mock(),
            guard=Mock(),
            permits=Mock(),
        )
        drain = Drain(NodeId('e1'), 20.0, list_entries)
        self.dispatcher = Dispatcher(
            parts, lambda: NodeFacts(3, may_route_unfenced=True, drain=drain)
        )

    def serve(self, **headers: str) -> None:
        """Serve a request with some headers."""
        asyncio.run(self.dispatcher.serve(make_submission(headers), Mock()))


def make_submission(headers: dict[str, str]) -> Submission:
    sent = {name.replace('_', '-'): text for name, text in headers.items()}
    sent['authorization'] = f'Bearer {CALLER_KEY}'
    return Submission('GET', '/services/app/x', sent, (), b'')


@pytest.mark.parametrize('deadline', ['0.1', '20'])
def test_a_request_whose_deadline_is_in_the_drain_is_accepted(
    deadline: str,
) -> None:
    node = LeavingNode()
    with pytest.raises(ClaimedError):
        node.serve(waywell_deadline=deadline)
    assert node.claims.count == 1


@pytest.mark.parametrize(
    'headers', [{'waywell_deadline': '20.001'}, {}], ids=['own', 'service']
)
def test_a_request_whose_deadline_is_after_the_drain_is_refused(
    headers: dict[str, str],
) -> None:
    node = LeavingNode()
    with pytest.raises(Refusal) as caught:
        node.serve(**headers)
    assert caught.value.code is Code.NODE_LEAVING
    assert caught.value.ran is Ran.NOT_RUN
    assert caught.value.retry_after == 0
    assert caught.value.detail == '10.0.0.2:80 10.0.0.3:80'
    assert not node.claims.count
    assert not node.admission.total


def test_the_refusal_of_an_unclaimed_id_leaves_open_whether_it_has_run() -> (
    None
):
    node = LeavingNode()
    with pytest.raises(Refusal) as caught:
        node.serve(waywell_repeatable='no', waywell_request_id='once')
    assert caught.value.code is Code.NODE_LEAVING
    assert caught.value.ran is Ran.MAY_HAVE_RUN
    assert not node.claims.count

"""Test of a node that starts just after the store was restored from a copy.

It guards against the node serving keys by the earlier version of the routes
that it reads, although other nodes know a later version without these keys.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from tests.fake_platform import KEY, make_manifest
from waywell.standins.harness import wait_until

if TYPE_CHECKING:
    from tests.front_harness import FrontHarness


def test_a_node_that_starts_serves_no_key_that_others_know_to_be_removed(
    front: FrontHarness,
) -> None:
    first = front.start()
    front.wait_serving(first)
    snapshot = front.store.take_snapshot()
    tenants = [{'name': 'shop', 'api_keys': ['another']}]
    front.store.put('config', 'main', make_manifest(2, tenants=tenants))

    def has_later_version() -> bool:
        _status, body = front.get(first, 'metrics_port', '/v1/status')
        return bool(json.loads(body)['routes_version'] == 2)

    wait_until(has_later_version, 'the version without the key')
    front.store.restore(snapshot)
    second = front.start('front-2')
    wait_until(lambda: front.is_ready(second), 'the second node')
    assert front.send_request(second, '/stock/1', key=KEY)[0] != 200

"""How sure a node is of routes, keys and boxes."""

from __future__ import annotations

import pytest

from tests.boxes import make_box, make_fleet, make_group
from waywell.codes import Code, Refusal
from waywell.ids import ModelName, ServiceName
from waywell.knowledge.cluster_view import KEY_MARGIN, ClusterView
from waywell.process.front_settings import PromiseSettings
from waywell.version.routes import (
    Engine,
    EngineModel,
    RoutedService,
    RouteTable,
)

ENGINE = Engine(9, (EngineModel(ModelName('notes'), 2),))
TABLE = RouteTable(
    3, services=(RoutedService(ServiceName('llm'), engine=ENGINE),)
)


def make_cluster() -> ClusterView:
    return ClusterView(PromiseSettings(keys_refused_within_ms=5000.0))


def check(cluster: ClusterView, now: float) -> Code | None:
    try:
        cluster.check_routes(now)
    except Refusal as refusal:
        assert refusal.ran.value == 'not_run'
        assert refusal.retry_after is not None
        return refusal.code
    return None


def test_a_node_without_routes_says_that_it_is_starting() -> None:
    cluster = make_cluster()
    cluster.confirm_routes(10.0)
    assert check(cluster, 10.0) is Code.NODE_STARTING


def test_routes_that_are_not_confirmed_in_time_serve_nobody() -> None:
    cluster = make_cluster()
    cluster.apply_routes(TABLE)
    cluster.confirm_routes(10.0)
    last = 10.0 + 5.0 - KEY_MARGIN
    assert check(cluster, last - 0.001) is None
    assert check(cluster, last) is Code.ROUTES_STALE


def test_routes_serve_on_where_removed_keys_are_not_strictly_bounded() -> None:
    cluster = ClusterView(
        PromiseSettings(keys_refused_within_ms=5000.0, keys_strict=False)
    )
    assert check(cluster, 10.0) is Code.NODE_STARTING
    cluster.apply_routes(TABLE)
    cluster.confirm_routes(10.0)
    assert check(cluster, 100.0) is None


def test_an_older_confirmation_takes_nothing_back() -> None:
    cluster = make_cluster()
    cluster.apply_routes(TABLE)
    cluster.confirm_routes(10.0)
    cluster.confirm_routes(7.0)
    assert cluster.get_routes_age(10.0) == 0


def test_no_version_goes_back() -> None:
    cluster = make_cluster()
    assert cluster.apply_routes(RouteTable(5))
    assert not cluster.apply_routes(RouteTable(4))
    assert not cluster.apply_routes(RouteTable(5))
    assert cluster.index.table.version == 5


def test_a_replica_that_left_its_group_gets_nothing_more() -> None:
    cluster = make_cluster()
    cluster.apply_routes(TABLE)
    cluster.apply_fleet(make_fleet(*make_group('notes.7', 'a', 'b')), 1.0)
    (replica,) = cluster.list_replicas(ServiceName('llm'), ModelName('notes'))
    assert cluster.may_send_to(replica)
    cluster.apply_fleet(make_fleet(*make_group('notes.8', 'a', 'b')), 2.0)
    assert not cluster.may_send_to(replica)


def test_a_doubted_replica_is_out_until_the_list_changes() -> None:
    cluster = make_cluster()
    cluster.apply_routes(TABLE)
    fleet = make_fleet(*make_group('notes.7', 'a', 'b'))
    cluster.apply_fleet(fleet, 1.0)
    service, model = ServiceName('llm'), ModelName('notes')
    (replica,) = cluster.list_replicas(service, model)
    cluster.exclude_replica(replica)
    assert not cluster.list_replicas(service, model)
    cluster.apply_fleet(fleet, 2.0)
    assert cluster.list_replicas(service, model)


def test_an_unknown_model_has_no_replica() -> None:
    cluster = make_cluster()
    cluster.apply_routes(TABLE)
    assert not cluster.list_replicas(ServiceName('llm'), ModelName('other'))
    with pytest.raises(Refusal):
        cluster.check_keys(100.0)


def test_an_engine_without_models_is_served_by_its_boxes_one_by_one() -> None:
    cluster = make_cluster()
    service = RoutedService(ServiceName('llm'), engine=Engine(9, ()))
    cluster.apply_routes(RouteTable(1, services=(service,)))
    cluster.apply_fleet(make_fleet(make_box('a'), make_box('b')), 1.0)
    replicas = cluster.list_replicas(ServiceName('llm'), ModelName('notes'))
    assert [replica.key.box for replica in replicas] == ['a', 'b']
    assert not list(cluster.index.list_engines())

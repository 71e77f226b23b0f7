"""Choice of the route and the service of a request."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from waywell.ids import ServiceName
from waywell.version.routes import (
    Route,
    RouteIndex,
    RouteKind,
    RouteTable,
    ServiceShare,
)


def make_route(name: str, prefix: str, host: str = 'shop.example') -> Route:
    return Route(
        name,
        host,
        prefix,
        RouteKind.SAFE,
        timeout=1.0,
        goal=0.2,
        shares=(ServiceShare(ServiceName('app'), 1.0),),
    )


def make_index(*routes: Route) -> RouteIndex:
    return RouteIndex(RouteTable(1, routes=routes))


def test_the_longest_prefix_wins_in_any_order_of_routes() -> None:
    short, long = make_route('short', '/a/'), make_route('long', '/a/b/')
    for routes in ((short, long), (long, short)):
        index = make_index(*routes)
        assert index.find_route('shop.example', '/a/b/c') is long
        assert index.find_route('shop.example', '/a/bc') is short


def test_the_host_is_matched_without_port_and_case() -> None:
    index = make_index(make_route('one', '/'))
    assert index.find_route('Shop.Example:8080', '/x') is not None
    assert index.find_route('other.example', '/x') is None


def test_a_prefix_matches_whole_path_segments_only() -> None:
    index = make_index(make_route('one', '/price/'))
    assert index.find_route('shop.example', '/prices') is None
    assert index.find_route('shop.example', '/price') is None


@given(
    weights=st.lists(st.floats(0, 100), min_size=1, max_size=5),
    draw=st.floats(0, 1, exclude_max=True),
)
def test_a_service_without_weight_is_never_picked(
    weights: list[float],
    draw: float,
) -> None:
    shares = tuple(
        ServiceShare(ServiceName(str(index)), weight)
        for index, weight in enumerate(weights)
    )
    route = Route('r', 'h', '/', RouteKind.SAFE, 1.0, 0.2, shares)
    picked = route.pick_service(draw)
    if sum(weights) <= 0:
        assert picked is None
    else:
        assert weights[int(picked)] > 0 or draw * sum(weights) >= sum(weights)


def test_picked_services_follow_the_weights() -> None:
    shares = (
        ServiceShare(ServiceName('a'), 90.0),
        ServiceShare(ServiceName('b'), 10.0),
    )
    route = Route('r', 'h', '/', RouteKind.SAFE, 1.0, 0.2, shares)
    picked = [route.pick_service(step / 1000) for step in range(1000)]
    assert picked.count(ServiceName('a')) == 900

"""Decoding of the operators' manifest."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from waywell.ids import ServiceName
from waywell.platform.manifest import decode_manifest
from waywell.version.routes import RouteKind

MANIFEST = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'shop.example',
            'path_prefix': '/notes/',
            'kind': 'streaming',
            'timeout_ms': 8000,
            'latency_goal_ms': 400,
            'gap_goal_ms': 300,
            'priority': 1,
            'split': [
                {'service': 'llm', 'weight': 90},
                {'service': 'app', 'weight': 10},
            ],
            'max_attempts': 2,
            'public': False,
            'sticky': True,
            'resumable': True,
        },
        {
            'name': 'r-2',
            'host': 'shop.example',
            'path_prefix': '/prices/',
            'kind': 'unsafe',
            'timeout_ms': 1000,
            'latency_goal_ms': 200,
            'service': 'app',
            'max_attempts': 1,
        },
    ],
    'services': [
        {
            'name': 'llm',
            'health_path': '/health',
            'max_conns': 378,
            'engine': {
                'slots': 9,
                'models': [
                    {
                        'name': 'big',
                        'size': 4,
                        'share': 0.5,
                        'pace': 1.0,
                        'load_s': 16.0,
                        'warmup_s': 1.6,
                    },
                ],
                'step_ms': 7.8,
                'read_per_s': 45900.0,
                'stride': 5,
                'loads_per_s': 5.0,
                'loads_at_once': 7,
                'form_ms': 300.0,
            },
        },
        {'name': 'app', 'max_conns': 110},
    ],
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 4194304,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
    'tenants': [{'name': 'shop', 'api_keys': ['k1', 'k2'], 'priority': 1}],
    'something_new': {'of': 'later'},
}


def test_a_manifest_is_decoded_into_a_table_of_routes() -> None:
    table = decode_manifest(MANIFEST)
    stream, plain = table.routes
    assert table.version == 7
    assert stream.kind is RouteKind.STREAM
    assert stream.timeout == 8.0
    assert stream.gap_goal == pytest.approx(0.3)
    assert stream.most_targets == 2
    assert stream.may_repeat
    assert not plain.may_repeat
    assert [share.service for share in plain.shares] == ['app']
    llm, app = table.services
    assert app.engine is None
    assert llm.engine is not None
    assert llm.engine.models[0].boxes_per_group == 4
    assert llm.engine.form_seconds == pytest.approx(0.3)
    assert table.limits.idle_seconds == 15.0
    assert table.has_accounts
    assert table.holders['k2'].account == ServiceName('shop')


def test_a_manifest_without_tenants_requires_no_key() -> None:
    table = decode_manifest({'version': 1})
    assert not table.has_accounts


@pytest.mark.parametrize(
    'change',
    [
        {'version': None},
        {'routes': [{'name': 'r'}]},
        {'routes': [{**MANIFEST['routes'][1], 'kind': 'sometimes'}]},
        {'services': 'none'},
        {'tenants': [{'api_keys': ['k']}]},
    ],
)
def test_an_invalid_manifest_raises_a_value_error(change: dict) -> None:
    with pytest.raises(ValueError, match='.'):
        decode_manifest({**MANIFEST, **change})


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(sorted(MANIFEST)), inner, max_size=4)
    ),
    max_leaves=12,
)


@given(spec=JSON_VALUES)
def test_any_value_is_decoded_or_raises_a_value_error(spec: object) -> None:
    try:
        table = decode_manifest(spec)
    except ValueError:
        return
    assert table.version == int(spec['version'])

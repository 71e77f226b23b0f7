"""Groups that the box list shows and that may serve."""

from __future__ import annotations

from tests.boxes import make_fleet, make_group
from waywell.ids import BoxId, ModelName, ServiceName
from waywell.version.fleet import MemberState

MODEL = ModelName('notes')
LLM = ServiceName('llm')


def list_serving(*boxes) -> list[str]:
    fleet = make_fleet(*boxes)
    return [replica.key.box for replica in fleet.list_serving(LLM, MODEL, 2)]


def test_a_complete_open_group_serves_through_its_head() -> None:
    assert list_serving(*make_group('notes.7', 'a', 'b')) == ['a']


def test_a_group_with_a_missing_member_does_not_serve() -> None:
    head, _member = make_group('notes.7', 'a', 'b')
    assert not list_serving(head)


def test_a_group_with_a_member_of_another_epoch_does_not_serve() -> None:
    head, _member = make_group('notes.7', 'a', 'b')
    _other, member = make_group('notes.8', 'x', 'b')
    assert not list_serving(head, member)


def test_a_group_with_a_leaving_member_gets_no_new_requests() -> None:
    boxes = make_group('notes.7', 'a', 'b', leaving='b')
    assert not list_serving(*boxes)


def test_a_group_serves_only_while_its_head_is_open() -> None:
    for state in MemberState:
        boxes = make_group('notes.7', 'a', 'b', head_state=state)
        serves = bool(list_serving(*boxes))
        assert serves is (state is MemberState.OPEN)


def test_a_box_serves_only_its_own_service() -> None:
    fleet = make_fleet(
        *make_group('notes.7', 'a', 'b'),
    )
    assert not fleet.list_plain(ServiceName('app'))
    assert fleet.boxes[BoxId('a')].service == LLM

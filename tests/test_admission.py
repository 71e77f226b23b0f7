"""Admission limits and retry budgets of one entry box."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from waywell.codes import Code, Ran
from waywell.request.admission import Admission, TokenBucket
from waywell.request.retry import RetryBudget
from waywell.version.objects import Account


def admit(
    admission: Admission,
    account: Account,
    now: float = 0,
    nodes: int = 1,
) -> Code:
    answer = admission.admit(account, nodes, now)
    if isinstance(answer, Failure):
        assert answer.failure().ran is Ran.NOT_RUN
        assert answer.failure().retry_after is not None
        return answer.failure().code
    return Code.OK


@given(
    st.lists(st.floats(0, 0.2), max_size=200),
    st.sampled_from([1.0, 5.0, 50.0]),
)
def test_token_bucket_never_exceeds_its_rate(gaps: list, rate: float) -> None:
    bucket = TokenBucket(0)
    now, taken = 0.0, 0
    for gap in gaps:
        now += gap
        taken += bucket.take(rate, now) == 0
    assert taken <= rate * now + max(1, rate) + 1e-6


def test_token_is_available_after_the_returned_wait() -> None:
    bucket = TokenBucket(0)
    while not (wait := bucket.take(2, 0)):
        continue
    assert bucket.take(2, wait) == 0


@pytest.mark.parametrize('nodes', [1, 3, 9])
def test_nodes_together_enforce_the_account_limit(nodes: int) -> None:
    account = Account('a', in_flight=18, requests_per_second=900)
    admissions = [Admission(1000) for _ in range(nodes)]
    admitted = sum(
        admit(admission, account, nodes=nodes) is Code.OK
        for admission in admissions
        for _ in range(100)
    )
    assert admitted == 18


def test_requests_above_the_rate_are_refused_until_a_token_returns() -> None:
    account = Account('a', requests_per_second=2)
    admission = Admission(1000)
    codes = [admit(admission, account) for _ in range(3)]
    assert codes == [Code.OK, Code.OK, Code.ACCOUNT_RATE]
    assert admit(admission, account, now=0.6) is Code.OK


def test_flooding_account_leaves_capacity_for_others() -> None:
    admission = Admission(100)
    flood, small = Account('flood'), Account('small')
    while admit(admission, flood) is Code.OK:
        continue
    assert 80 <= admission.total < 100
    assert admit(admission, small) is Code.OK


def test_released_slot_is_reused() -> None:
    admission = Admission(10)
    account = Account('a', in_flight=1)
    assert admit(admission, account) is Code.OK
    assert admit(admission, account) is Code.ACCOUNT_IN_FLIGHT
    admission.release('a')
    assert admission.list_in_flight() == {}
    assert admit(admission, account) is Code.OK


def test_retries_stay_below_a_tenth_of_requests_when_all_fail() -> None:
    budget = RetryBudget()
    retries = 0
    for _ in range(10_000):
        budget.earn('a')
        while budget.spend('a'):
            retries += 1
    assert retries <= 1000


def test_accounts_have_separate_retry_budgets() -> None:
    budget = RetryBudget()
    for _ in range(100):
        budget.earn('a')
    assert budget.spend('a')
    assert not budget.spend('b')

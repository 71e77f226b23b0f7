"""Budget of resends that all entry boxes share."""

from __future__ import annotations

from waywell.ids import ServiceName
from waywell.request.resend_budget import (
    STARTUP_SLACK_SHARE,
    ResendBudget,
    ResendLimits,
)

LLM = ServiceName('llm')
LIMITS = ResendLimits(ratio=0.2, slack=90.0, window=10.0)


def spend_all(budget: ResendBudget, nodes: int, now: float) -> int:
    count = 0
    while budget.spend(LLM, nodes, now):
        count += 1
    return count


def test_nodes_together_stay_within_the_budget() -> None:
    nodes = 9
    total = 0
    for _node in range(nodes):
        budget = ResendBudget(LIMITS, 0.0)
        for _request in range(100):
            budget.record_request(LLM, 50.0)
        total += spend_all(budget, nodes, 50.0)
    assert total <= 0.2 * 900 + 90
    assert total > 0.5 * (0.2 * 900 + 90)


def test_simultaneous_restart_does_not_spend_the_slack_twice() -> None:
    nodes = 9
    before = [ResendBudget(LIMITS, 0.0) for _node in range(nodes)]
    after = [ResendBudget(LIMITS, 51.0) for _node in range(nodes)]
    total = sum(spend_all(budget, nodes, 50.0) for budget in before)
    total += sum(spend_all(budget, nodes, 52.0) for budget in after)
    assert total <= 90


def test_no_slack_is_available_while_the_node_count_is_unknown() -> None:
    budget = ResendBudget(LIMITS, 0.0)
    assert not budget.spend(LLM, 0, 50.0)


def test_budget_recovers_after_the_window() -> None:
    budget = ResendBudget(LIMITS, 0.0)
    first = spend_all(budget, 9, 50.0)
    assert spend_all(budget, 9, 59.9) == 0
    assert spend_all(budget, 9, 60.1) == first


def test_services_have_separate_budgets() -> None:
    budget = ResendBudget(LIMITS, 0.0)
    spend_all(budget, 9, 50.0)
    assert budget.spend(ServiceName('app'), 9, 50.0)


def test_new_process_may_spend_only_a_part_of_the_slack() -> None:
    fresh = spend_all(ResendBudget(LIMITS, 50.0), 1, 50.0)
    old = spend_all(ResendBudget(LIMITS, 0.0), 1, 50.0)
    assert fresh <= old * STARTUP_SLACK_SHARE + 1

"""Actors: dispatch of messages, failing handlers and periodic messages."""

from __future__ import annotations

import asyncio

from waywell.process.actor import Actor, Message, get_handler_name


class Counter(Actor):
    """Counts its ticks, and blocks in each until the gate is open."""

    class Tick(Message, frozen=True):
        """Increments the counter."""

    class BadNews(Message, frozen=True):
        """Makes its handler fail."""

    def __init__(self) -> None:
        super().__init__('counter')
        self.ticks = 0
        self.gate = asyncio.Event()

    async def on_tick(self, _tick: Tick) -> None:
        self.ticks += 1
        await self.gate.wait()

    def on_bad_news(self, _news: BadNews) -> None:
        raise ValueError('bad')


def test_handler_names_follow_the_message_classes() -> None:
    assert get_handler_name(Counter.Tick()) == 'on_tick'
    assert get_handler_name(Counter.BadNews()) == 'on_bad_news'


def test_failing_handler_does_not_end_the_actor() -> None:
    async def work() -> int:
        counter = Counter()
        counter.gate.set()
        counter.start()
        counter.post(Counter.BadNews())
        counter.post(Counter.Tick())
        while not counter.ticks:
            await asyncio.sleep(0)
        await counter.stop()
        return counter.ticks

    assert asyncio.run(work()) == 1


def test_ticks_do_not_pile_up_behind_a_slow_handler() -> None:
    async def work() -> tuple[int, object]:
        counter = Counter()
        counter.start()
        counter.repeat(0, Counter.Tick())
        while not counter.ticks:
            await asyncio.sleep(0)
        for _ in range(200):
            await asyncio.sleep(0)
        waiting = counter.dump()['inbox']
        await counter.stop()
        return counter.ticks, waiting

    assert asyncio.run(work()) == (1, 1)

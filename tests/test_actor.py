"""Actors: messages in order, failures survived, no heap of ticks."""

from __future__ import annotations

import asyncio

from waywell.process.actor import Actor, Message, get_handler_name


class Counter(Actor):
    """Counts what it gets."""

    class Tick(Message, frozen=True):
        """Time to count."""

    class BadNews(Message, frozen=True):
        """Makes the handler fail."""

    def __init__(self) -> None:
        super().__init__('counter')
        self.ticks = 0
        self.gate = asyncio.Event()

    async def on_tick(self, _tick: Tick) -> None:
        self.ticks += 1
        await self.gate.wait()

    def on_bad_news(self, _news: BadNews) -> None:
        raise ValueError('bad')


def test_handler_names() -> None:
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


def test_slow_handler_finds_one_tick_waiting() -> None:
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

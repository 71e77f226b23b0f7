"""A long answer that a stopping node accepts and then cuts."""

from __future__ import annotations

import os
import signal
import sys
import threading
import time
from pathlib import Path

from review.standins import Answer, Deployment, call, run_case

TROUBLED = os.environ.get('TROUBLE', '1') != '0'
"""Whether the disruption is played."""

EVENT_SECONDS = 0.045
"""Five tokens of an engine whose step takes 7.8 ms and more."""

USUAL_EVENTS = (22, 28, 34, 40, 46, 31, 25, 37)
"""Answers around the mean of the sheet, 34 events."""

LONGEST_EVENTS = 87
"""The longest answer of the sheet."""

MAX_TOKENS = 435
"""The most that a request generates: 87 events of five tokens."""

SENT_AFTER_SIGTERM = 4.6


def _ask(deployment: Deployment, name: str, events: int) -> Answer:
    return call(
        deployment.record,
        deployment.nodes[0],
        name,
        '/notes/1',
        {'events': events, 'event_seconds': EVENT_SECONDS},
        8000,
        {
            'X-Model': 'small',
            'X-Token-Count': f'1420,{MAX_TOKENS}',
            'X-Prompt-Prefix': f'5c1e07a2:40,{abs(hash(name)):x}:1380',
        },
    )


def _ask_usual(deployment: Deployment) -> None:
    threads = [
        threading.Thread(
            target=_ask,
            args=(deployment, f'usual-{number}', events),
            daemon=True,
        )
        for number, events in enumerate(USUAL_EVENTS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _play(deployment: Deployment) -> bool:
    _ask_usual(deployment)
    if TROUBLED:
        process = deployment.nodes[0].process
        assert process is not None
        process.send_signal(signal.SIGTERM)
        deployment.record.write('front-1 gets SIGTERM')
    time.sleep(SENT_AFTER_SIGTERM)
    answer = _ask(deployment, 'long-1', LONGEST_EVENTS)
    runs = len(deployment.list_runs('long-1'))
    deployment.record.write(f'long-1 was run {runs} times')
    if not TROUBLED and not runs:
        raise TimeoutError('the request was not passed on')
    # A refusal is allowed; a request that was passed on has to be answered.
    return answer.is_whole or not runs


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).parent, 2, _play))

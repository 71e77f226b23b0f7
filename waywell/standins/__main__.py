"""Run a stand-in as a process: ``platform [PORT]`` or ``target NAME``.

Options of a target are ``fenced=yes|no``, ``port=NUMBER`` and
``history=FILE``.
"""

from __future__ import annotations

import asyncio
import sys

from twisted.internet import asyncioreactor


def main(arguments: list[str]) -> int:
    """Run the stand-in given by the arguments until it is killed."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor  # noqa: PLC0415

    from waywell.standins.platform import open_platform  # noqa: PLC0415
    from waywell.standins.target import open_target  # noqa: PLC0415

    kind = arguments[0]
    if kind == 'platform':
        port, _ = open_platform(int(arguments[1]) if len(arguments) > 1 else 0)
    else:
        options = dict(option.split('=', 1) for option in arguments[2:])
        port, _ = open_target(
            arguments[1],
            fenced=options.get('fenced', 'yes') == 'yes',
            port=int(options.get('port', '0')),
            history=options.get('history', ''),
        )
    sys.stderr.write(f'event=listening port={port}\n')
    sys.stderr.flush()
    reactor.run()
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))

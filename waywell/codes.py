"""Result codes: a number for each outcome of a request."""

from __future__ import annotations

import enum
from types import MappingProxyType

import msgspec


class Ran(enum.Enum):
    """Whether a request may have reached a target."""

    NOT_RUN = 'not_run'
    """No byte of the request can have reached a target."""

    MAY_HAVE_RUN = 'may_have_run'
    """Bytes may have been sent, and the outcome is unknown."""

    RAN = 'ran'
    """The request has run."""


class Code(enum.IntEnum):
    """Result codes; docs/CODES.md lists them with advice for callers."""

    OK = 0

    MALFORMED_HTTP = 1001
    UNSUPPORTED_HTTP = 1002
    BODY_TOO_LARGE = 1004
    UNKNOWN_SERVICE = 1005
    UNKNOWN_KEY = 1006
    BAD_DEADLINE = 1007
    BAD_HEADER = 1008
    NOT_ADMITTED = 1009
    BAD_REQUEST_ID = 1010
    NO_ROUTE = 1011
    HEAD_TOO_SLOW = 1012
    BODY_TOO_SLOW = 1013

    ACCOUNT_RATE = 2001
    ACCOUNT_IN_FLIGHT = 2002
    NO_WHOLE_GROUP = 2003
    NODE_LEAVING = 2004
    DEADLINE_PASSED = 2005
    NODE_STARTING = 2006
    NODE_BUSY = 2007
    ROUTES_STALE = 2008
    REQUEST_HELD_BACK = 2009
    REPLICAS_REST = 2010
    REPLICAS_LIMITED = 2011
    NODE_PARTITIONED = 2012

    TARGET_UNREACHABLE = 3001
    TARGET_FAILED = 3002
    FENCE_REFUSED = 3003
    REPEAT_UNKNOWN = 3004
    REPEAT_RUNNING = 3005
    REPEAT_DONE = 3006
    REPEAT_REFUSED = 3007
    CLAIM_UNKNOWN = 3008

    BAD_DOCUMENT = 4001
    STALE_VERSION = 4002
    DOCUMENT_TOO_LARGE = 4003
    OUTCOME_UNKNOWN = 4004
    PLATFORM_DOWN = 4005
    FORBIDDEN = 4006
    NOT_FOUND = 4007


PROMISE_STATUSES = frozenset((408, 421, 429, 503))
"""HTTP statuses which state that a request has not run and never will."""

UNKNOWN_OUTCOME_STATUS = 502
"""HTTP status that leaves open whether a request has run."""


class CodeFacts(msgspec.Struct, frozen=True):
    """HTTP status and explanation of a code."""

    status: int
    """HTTP status of answers with this code."""

    text: str
    """Explanation for the caller, in one sentence."""


CODE_FACTS = MappingProxyType(
    {
        Code.OK: CodeFacts(200, 'The request was served.'),
        Code.MALFORMED_HTTP: CodeFacts(400, 'The HTTP request is malformed.'),
        Code.UNSUPPORTED_HTTP: CodeFacts(505, 'Use HTTP/1.1.'),
        Code.BODY_TOO_LARGE: CodeFacts(413, 'The body is over the limit.'),
        Code.UNKNOWN_SERVICE: CodeFacts(404, 'No service has this name.'),
        Code.UNKNOWN_KEY: CodeFacts(401, 'No client account has this key.'),
        Code.BAD_DEADLINE: CodeFacts(400, 'The deadline is not understood.'),
        Code.BAD_HEADER: CodeFacts(400, 'A waywell header is not understood.'),
        Code.NOT_ADMITTED: CodeFacts(
            403,
            'No serving rule admits this account, session and kind.',
        ),
        Code.BAD_REQUEST_ID: CodeFacts(
            400,
            'The request id was not issued by an entry box.',
        ),
        Code.NO_ROUTE: CodeFacts(404, 'No route has this host and path.'),
        Code.HEAD_TOO_SLOW: CodeFacts(
            408, 'The head of the request did not come in time.'
        ),
        Code.BODY_TOO_SLOW: CodeFacts(
            408, 'The body of the request did not come in time.'
        ),
        Code.ACCOUNT_RATE: CodeFacts(429, 'The account is over its rate.'),
        Code.ACCOUNT_IN_FLIGHT: CodeFacts(
            429,
            'The account has too many requests in flight.',
        ),
        Code.NO_WHOLE_GROUP: CodeFacts(503, 'No whole group can serve this.'),
        Code.NODE_LEAVING: CodeFacts(503, 'This entry box is leaving.'),
        Code.DEADLINE_PASSED: CodeFacts(504, 'The deadline has passed.'),
        Code.NODE_STARTING: CodeFacts(
            503, 'No configuration is in force, or compared with peers, yet.'
        ),
        Code.NODE_BUSY: CodeFacts(503, 'This entry box is at its limit.'),
        Code.ROUTES_STALE: CodeFacts(
            503,
            'It is not sure that the routes here are the newest.',
        ),
        Code.REQUEST_HELD_BACK: CodeFacts(
            503,
            'Replicas ended under this request: it is not sent on for now.',
        ),
        Code.REPLICAS_REST: CodeFacts(
            503, 'All replicas have asked for rest.'
        ),
        Code.REPLICAS_LIMITED: CodeFacts(
            503, 'All replicas have had the requests that they take now.'
        ),
        Code.NODE_PARTITIONED: CodeFacts(
            503, 'This entry box has lost its links to the replicas.'
        ),
        Code.TARGET_UNREACHABLE: CodeFacts(503, 'No target could be reached.'),
        Code.TARGET_FAILED: CodeFacts(502, 'The target broke off.'),
        Code.FENCE_REFUSED: CodeFacts(503, 'The target refused the epoch.'),
        Code.REPEAT_UNKNOWN: CodeFacts(
            409,
            'An earlier submission of this request id has an unknown outcome.',
        ),
        Code.REPEAT_RUNNING: CodeFacts(
            409,
            'An earlier submission of this request id is still running.',
        ),
        Code.REPEAT_DONE: CodeFacts(
            409,
            'An earlier submission of this request id has run.',
        ),
        Code.REPEAT_REFUSED: CodeFacts(
            409,
            'An earlier submission was refused: take a new request id.',
        ),
        Code.CLAIM_UNKNOWN: CodeFacts(
            503,
            'Whether this request id was submitted before is not known now.',
        ),
        Code.BAD_DOCUMENT: CodeFacts(422, 'The document has faults.'),
        Code.STALE_VERSION: CodeFacts(409, 'A later version is stored.'),
        Code.DOCUMENT_TOO_LARGE: CodeFacts(
            413,
            "The document is over the platform's limit.",
        ),
        Code.OUTCOME_UNKNOWN: CodeFacts(
            504,
            'The outcome is unknown: repeat with the same operation id.',
        ),
        Code.PLATFORM_DOWN: CodeFacts(503, 'The platform does not answer.'),
        Code.FORBIDDEN: CodeFacts(403, 'No operator has this key.'),
        Code.NOT_FOUND: CodeFacts(404, 'There is no such thing.'),
    },
)
"""Status and text of each code."""


class Refusal(Exception):
    """Ends a request with a code and a statement of whether it ran.

    Parameters
    ----------
    code
        Reason of the refusal.
    ran
        Whether the request may have reached a target.
    detail
        Details for the caller, in addition to the text of the code.
    retry_after
        Seconds after which the caller may retry; ``None`` for no advice.
    sends
        Number of replicas that may have received the request; ``None`` if it
        was sent to none.
    """

    def __init__(
        self,
        code: Code,
        ran: Ran = Ran.NOT_RUN,
        detail: str = '',
        retry_after: float | None = None,
        sends: int | None = None,
    ) -> None:
        """Store the values that the answer reports."""
        super().__init__(code.name, ran.value, detail)
        self.code = code
        self.ran = ran
        self.detail = detail
        self.retry_after = retry_after
        self.sends = sends

    @property
    def status(self) -> int:
        """Return the HTTP status of the code.

        A request that was sent and may have run gets no status that promises
        otherwise.  One that was not sent keeps its status, even if an earlier
        submission of its id may have run.
        """
        status = CODE_FACTS[self.code].status
        may_have_run = self.ran is not Ran.NOT_RUN and self.sends
        if may_have_run and status in PROMISE_STATUSES:
            return UNKNOWN_OUTCOME_STATUS
        return status

    def describe(self) -> dict[str, object]:
        """Return the body of the answer as JSON-compatible values."""
        return {
            'code': int(self.code),
            'name': self.code.name,
            'ran': self.ran.value,
            'text': CODE_FACTS[self.code].text,
            'detail': self.detail,
            'retry_after': self.retry_after,
        }


def render_codes() -> str:
    """Return the table of codes in docs/CODES.md, as Markdown."""
    rows = [
        f'| {code:d} | {code.name} | {facts.status} | {facts.text} |'
        for code, facts in CODE_FACTS.items()
    ]
    head = ('| code | name | HTTP | meaning |', '| --- | --- | --- | --- |')
    return '\n'.join((*head, *rows))

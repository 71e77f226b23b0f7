"""Strategies of responses with sound and malformed heads."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import strategies as st

from tests.raw_heads import (
    CHUNKED_BODY,
    LENGTH_FIELD,
    MALFORMED_HEADS,
    PLAIN_BODY,
    TOKEN,
    UNUSUAL_HEADS,
    RawAnswer,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

_ANSWERS = (*MALFORMED_HEADS.values(), *UNUSUAL_HEADS.values())

_VERSIONS = st.sampled_from(
    [b'HTTP/1.1'] * 6 + [b'HTTP/1.0', b'HTTP/1.7', b'HTTP/2.0', b'HTTP/1.1 ']
)

_CODES = st.one_of(
    st.sampled_from([200, 200, 200, 203, 299, 404, 500, 599]),
    st.integers(0, 1100).filter(lambda code: code not in {421, 429, 503}),
).map(b'%03d'.__mod__)

_SOUND_TEXTS = st.lists(
    st.sampled_from([9, *range(0x20, 0x7F), *range(0x80, 0x100)]), max_size=6
).map(bytes)

_ANY_TEXTS = st.binary(max_size=4)

_TEXTS = st.one_of(_SOUND_TEXTS, _SOUND_TEXTS, _SOUND_TEXTS, _ANY_TEXTS)

_NAMES = st.one_of(
    st.sampled_from([b'x-note', b'X-Note', b'vary', TOKEN]),
    st.binary(min_size=1, max_size=3),
)

_LINES = st.one_of(
    st.builds(b'%b:%b'.__mod__, st.tuples(_NAMES, _TEXTS)),
    st.builds(b'x-note: %b'.__mod__, _TEXTS),
    st.sampled_from([line for answer in _ANSWERS for line in answer.fields]),
)

_FRAMINGS = st.sampled_from(
    [((LENGTH_FIELD,), PLAIN_BODY)] * 8
    + [(answer.framing, answer.body) for answer in _ANSWERS]
    + [((b'transfer-encoding: chunked',), CHUNKED_BODY)] * 8
)

_INTERIMS = st.sampled_from(
    [b''] * 20 + sorted({answer.interim for answer in _ANSWERS})
)


@st.composite
def draw_response(
    draw: st.DrawFn, headers: Mapping[str, str] | None = None
) -> bytes:
    """Return the bytes of a response, most parts of which are sound.

    A few bytes of its head are replaced in one of two responses.
    """
    framing, body = draw(_FRAMINGS)
    phrase = draw(st.one_of(st.just(b''), _TEXTS.map(b' %b'.__mod__)))
    answer = RawAnswer(
        status_line=b'%b %b%b' % (draw(_VERSIONS), draw(_CODES), phrase),
        fields=tuple(draw(st.lists(_LINES, max_size=2))),
        framing=framing,
        body=body,
        interim=draw(_INTERIMS),
        line_end=draw(st.sampled_from([b'\r\n', b'\r\n', b'\n'])),
    )
    raw = answer.encode_response(headers)
    for _edit in range(draw(st.sampled_from([0, 0, 1, 2]))):
        begin = draw(st.integers(0, len(raw) - len(body) - 1))
        end = begin + draw(st.integers(0, 2))
        raw = raw[:begin] + draw(st.binary(max_size=2)) + raw[end:]
    return raw

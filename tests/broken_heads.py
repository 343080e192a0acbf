"""Answers whose head is no head of HTTP/1.1, though their body may look sound."""

from __future__ import annotations

from tests.broken_answers import BODY, ID, OK

SEAL = b"X-Engine-Seal: s\r\n"
LENGTH = b"Content-Length: %d\r\n" % len(BODY)
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
BYTES = {"blank": b" ", "tab": b"\t", "control byte": b"\x01"}

STATUSES = (
    *(b"000", b"099", b"101", b"199", b"600", b"999"),
    *(b"20", b"2000", b"1000", b"+20", b"2 0", b"20x"),
)
# Lines that are no fields, and what is wrong with them.
LINES = {
    "blank inside": b"X Lead: a\r\n",
    "tab inside": b"X\tLead: a\r\n",
    "control byte inside": b"X\x01Lead: a\r\n",
    "null byte inside": b"X\x00Lead: a\r\n",
    "delete byte inside": b"X\x7fLead: a\r\n",
    "blank behind": b"X-Lead : a\r\n",
    "control byte behind": b"X-Lead\x01: a\r\n",
    "empty name": b": a\r\n",
    "no colon": b"X-Lead\r\n",
}
FOLDS = {
    "blank in front": b" X-Lead: a\r\n",
    "tab in front": b"\tX-Lead: a\r\n",
    "only a blank": b" \r\n",
}
# What such a line says of the body is lost, or changes another field.
FRAMES = {
    "length, {} inside": (b"Content%sLength: 5\r\n", BODY),
    "length, {} behind": (b"Content-Length%s: 5\r\n", BODY),
    "chunks, {} inside": (b"Transfer%sEncoding: chunked\r\n", CHUNKS),
    "chunks, {} behind": (b"Transfer-Encoding%s: chunked\r\n", CHUNKS),
}


def make_whole(status_line: bytes, fields: bytes, body: bytes = BODY) -> bytes:
    return status_line + fields + b"\r\n" + body


def list_statuses() -> dict[str, bytes]:
    """Return answers whose status is none, by name."""
    return {
        f"status {status.decode()}": make_whole(
            b"HTTP/1.1 %s X\r\n" % status, ID + SEAL + LENGTH
        )
        for status in STATUSES
    }


def place_line(name: str, line: bytes) -> dict[str, bytes]:
    """Return answers with a line at each place of a head, by name."""
    hints = b"HTTP/1.1 103 X\r\nX-Hint: 1\r\n" + line + b"\r\n"
    return {
        name: make_whole(OK, ID + SEAL + line + LENGTH),
        f"{name}, first": make_whole(OK, line + ID + SEAL + LENGTH),
        f"{name}, last": make_whole(OK, ID + SEAL + LENGTH + line),
        f"{name}, in hints": hints + make_whole(OK, ID + SEAL + LENGTH),
    }


def list_lines(lines: dict[str, bytes]) -> dict[str, bytes]:
    answers: dict[str, bytes] = {}
    for name, line in lines.items():
        answers |= place_line(name, line)
    return answers


def list_frames() -> dict[str, bytes]:
    """Return answers that name the end of their body in such a line, by name."""
    return {
        frame.format(byte): make_whole(OK, ID + SEAL + line % value, body)
        for frame, (line, body) in FRAMES.items()
        for byte, value in BYTES.items()
    }


def list_folded_frames() -> dict[str, bytes]:
    """Return the same with a line that continues the field before it."""
    answers: dict[str, bytes] = {}
    for byte in ("blank", "tab"):
        fields = ID + SEAL + BYTES[byte]
        length, chunks = fields + LENGTH, fields + CHUNKED
        answers[f"length, {byte} in front"] = make_whole(OK, length, BODY + b" more")
        answers[f"chunks, {byte} in front"] = make_whole(OK, chunks, CHUNKS)
    return answers


STATUS_ANSWERS = list_statuses()
NAME_ANSWERS = list_lines(LINES) | list_frames()
FOLDED_ANSWERS = list_lines(FOLDS) | list_folded_frames()
BROKEN_HEADS = STATUS_ANSWERS | NAME_ANSWERS | FOLDED_ANSWERS

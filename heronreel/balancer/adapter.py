"""The operators' wire on standard input and output: hosts many isolated balancers and decides nothing."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from typing import TextIO

from heronreel.balancer.choice import Balancer
from heronreel.balancer.errors import WireError
from heronreel.balancer.interface import Event
from heronreel.balancer.wire import EVENTS, Fields, Rows, parse_fields, render, settings_from_fields


class Adapter:
    """The balancers of one simulator, by their number on the wire."""

    def __init__(self) -> None:
        self.hosted: dict[int, Balancer] = {}

    def replies(self, lines: Iterable[str]) -> Iterator[str]:
        """One reply for each batch of lines.  Raises WireError."""
        rows = enumerate(lines, 1)
        for number, line in rows:
            head, _, rest = line.rstrip("\n").partition(" ")
            if not head:
                continue
            if head != "begin_batch":
                raise WireError(number, f"expected begin_batch, got {head[:40]!r}")
            yield self._batch(parse_fields(number, rest).number("NowMs"), rows)

    def _batch(self, now: float, rows: Rows) -> str:
        reply: list[str] = []
        for number, line in rows:
            head, _, rest = line.rstrip("\n").partition(" ")
            if head == "over_to_you":
                reply.append("ok\n")
                return "\n".join(reply)
            fields = parse_fields(number, rest)
            reply += self._message(now, head, fields, rows)
        raise WireError(None, "input ended inside a batch")

    def _message(self, now: float, head: str, fields: Fields, rows: Rows) -> list[str]:
        who = fields.integer("Who")
        if head == "born":
            self.hosted[who] = Balancer(settings_from_fields(fields), fields.integer("Nonce64"))
            return []
        if who not in self.hosted:
            raise WireError(fields.line, f"Who: no instance {who} was born")
        if head == "kill":
            del self.hosted[who]
            return []
        if head not in EVENTS:
            raise WireError(fields.line, f"unknown message {head[:40]!r}")
        event = EVENTS[head](fields, rows)
        return [] if event is None else self._handle(now, who, event)

    def _handle(self, now: float, who: int, event: Event) -> list[str]:
        try:
            return [render(who, action) for action in self.hosted[who].handle(now, event)]
        except Exception as error:  # the wire's own word for a failure of the decision code
            words = " ".join(f"{type(error).__name__}: {error}".split())
            return [f"give_in Who={who} Words={words}"]


def run(source: TextIO, sink: TextIO) -> int:
    """Reply until the input ends; returns the exit status, 2 after malformed input."""
    try:
        for reply in Adapter().replies(source):
            sink.write(reply)
            sink.flush()
    except WireError as error:
        print(f"heronreel: {error}", file=sys.stderr)
        return 2
    except UnicodeDecodeError as error:
        print(f"heronreel: input is not UTF-8: {error.reason}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.stdin, sys.stdout))

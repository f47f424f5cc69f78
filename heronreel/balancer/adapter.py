"""Runs many isolated balancers behind the operators' line protocol on standard input and output.

The adapter itself makes no load-balancing decisions.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from typing import TextIO

from heronreel.balancer.choice import Balancer
from heronreel.balancer.errors import WireError
from heronreel.balancer.interface import Event
from heronreel.balancer.wire import EVENTS, Fields, Rows, parse_fields, render, settings_from_fields


class Adapter:
    """The balancers of one simulator, by their instance number in the protocol."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}

    def replies(self, lines: Iterable[str]) -> Iterator[str]:
        """Yield one reply for each batch of lines.

        Raises:
            WireError: the input is malformed.
        """
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
        instance = fields.integer("Who")
        if head == "born":
            self.balancers[instance] = Balancer(settings_from_fields(fields), fields.integer("Nonce64"))
            return []
        if instance not in self.balancers:
            raise WireError(fields.line, f"Who: no instance {instance} was born")
        if head == "kill":
            del self.balancers[instance]
            return []
        if head not in EVENTS:
            raise WireError(fields.line, f"unknown message {head[:40]!r}")
        event = EVENTS[head](fields, rows)
        return [] if event is None else self._handle(now, instance, event)

    def _handle(self, now: float, instance: int, event: Event) -> list[str]:
        try:
            return [render(instance, action) for action in self.balancers[instance].handle(now, event)]
        except Exception as error:  # The protocol reports a failure of the decision code as `give_in`.
            description = " ".join(f"{type(error).__name__}: {error}".split())
            return [f"give_in Who={instance} Words={description}"]


def run(source: TextIO, sink: TextIO) -> int:
    """Process the input until it ends and return the exit status, which is 2 after malformed input."""
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

"""Finds the line of every key in a TOML text.

`tomllib` reports no line numbers, and without one an operator would have to search thousands of routes for
the cause of an error message.  The text has been parsed by `tomllib` before, so the scanner handles only
valid TOML (v1.0.0).  Its result is only used in messages: a missed key costs its line number and no more.
"""

from __future__ import annotations

import re

from heronreel.routes.model import Path

_BLANK = re.compile(r"(?:[ \t\r\n]+|#[^\n]*)*")
_WHITESPACE = re.compile(r"[ \t]*")
_BARE_KEY = re.compile(r"[A-Za-z0-9_-]+")
_BASIC_STRING = re.compile(r'"((?:[^"\\\n]|\\.)*)"')
_LITERAL_STRING = re.compile(r"'([^'\n]*)'")
_MULTILINE_BASIC_STRING = re.compile(r'"""(?:[^"\\]|\\.|"(?!""))*"{3,5}', re.DOTALL)
_MULTILINE_LITERAL_STRING = re.compile(r"'''(?:[^']|'(?!''))*'{3,5}", re.DOTALL)
_STRINGS = (
    ('"""', _MULTILINE_BASIC_STRING),
    ("'''", _MULTILINE_LITERAL_STRING),
    ('"', _BASIC_STRING),
    ("'", _LITERAL_STRING),
)
_UNQUOTED_VALUE = re.compile(r"[^,\]}\n#]+")
_ESCAPE = re.compile(r'\\(?:(["\\bfnrt])|u([0-9A-Fa-f]{4})|U([0-9A-Fa-f]{8}))')
_SHORT_ESCAPES = {'"': '"', "\\": "\\", "b": "\b", "f": "\f", "n": "\n", "r": "\r", "t": "\t"}


def key_lines(text: str) -> dict[Path, int]:
    """Return the line, from 1, of each key and table by its path; array elements are counted from 0."""
    return _Scanner(text).scan()


def _unescape(text: str) -> str:
    def character(found: re.Match[str]) -> str:
        short, four_digits, eight_digits = found.groups()
        return _SHORT_ESCAPES[short] if short else chr(int(four_digits or eight_digits, 16))

    return _ESCAPE.sub(character, text) if "\\" in text else text


class _Scanner:
    """A cursor over the text, and the lines of the keys found so far."""

    def __init__(self, text: str) -> None:
        self.text = text
        self.at = 0
        self.counted_to, self.line = 0, 1  # the position up to which lines are counted, and its line
        self.lines: dict[Path, int] = {}
        self.arrays: dict[Path, int] = {}  # the index of the last element of each array of tables
        self.table: Path = ()

    def scan(self) -> dict[Path, int]:
        while True:
            self._skip(_BLANK)
            if self.at >= len(self.text):
                return self.lines
            if self.text.startswith("[[", self.at):
                self._header(2)
            elif self.text[self.at] == "[":
                self._header(1)
            else:
                self._pair(self.table)

    def _record_line(self, path: Path, start: int) -> None:
        self.line += self.text.count("\n", self.counted_to, start)
        self.counted_to = max(self.counted_to, start)
        self.lines.setdefault(path, self.line)

    def _skip(self, pattern: re.Pattern[str]) -> None:
        found = pattern.match(self.text, self.at)
        if found:
            self.at = found.end()

    def _header(self, brackets: int) -> None:
        start = self.at
        self.at += brackets
        names = self._key()
        self._skip(_WHITESPACE)
        self.at += brackets
        path: Path = ()
        for position, name in enumerate(names):
            path = (*path, name)
            if brackets == 2 and position == len(names) - 1:
                self._record_line(path, start)
                self.arrays[path] = self.arrays.get(path, -1) + 1
                path = (*path, self.arrays[path])
            elif path in self.arrays:
                path = (*path, self.arrays[path])
        self.table = path
        self._record_line(path, start)

    def _key(self) -> list[str]:
        names: list[str] = []
        while True:
            self._skip(_WHITESPACE)
            for pattern in (_BASIC_STRING, _LITERAL_STRING, _BARE_KEY):
                found = pattern.match(self.text, self.at)
                if found:
                    break
            else:
                raise ValueError(f"not a key: {self.text[self.at : self.at + 20]!r}")
            self.at = found.end()
            names.append(
                _unescape(found.group(1)) if pattern is _BASIC_STRING else found.group(found.re.groups)
            )
            self._skip(_WHITESPACE)
            if not self.text.startswith(".", self.at):
                return names
            self.at += 1

    def _pair(self, table: Path) -> None:
        start = self.at
        path = (*table, *self._key())
        for end in range(len(table) + 1, len(path) + 1):
            self._record_line(path[:end], start)
        self.at += 1  # the equals sign
        self._value(path)

    def _value(self, path: Path) -> None:
        self._skip(_WHITESPACE)
        for opening, pattern in _STRINGS:
            if self.text.startswith(opening, self.at):
                self._skip(pattern)
                return
        if self.text.startswith("[", self.at):
            self._array(path)
        elif self.text.startswith("{", self.at):
            self._inline_table(path)
        else:
            self._skip(_UNQUOTED_VALUE)

    def _array(self, path: Path) -> None:
        self.at += 1
        index = 0
        while not self._at_closing("]"):
            self._record_line((*path, index), self.at)
            self._value((*path, index))
            index += 1
            self._skip_comma()
        self.at += 1

    def _inline_table(self, path: Path) -> None:
        self.at += 1
        while not self._at_closing("}"):
            self._pair(path)
            self._skip_comma()
        self.at += 1

    def _at_closing(self, bracket: str) -> bool:
        self._skip(_BLANK)
        return self.text.startswith(bracket, self.at)

    def _skip_comma(self) -> None:
        self._skip(_BLANK)
        if self.text.startswith(",", self.at):
            self.at += 1

"""Where every key of a TOML text stands.

`tomllib` tells no line numbers, and a message without one costs its reader a search through thousands of
routes.  The text has been accepted by `tomllib` before it comes here, so only valid TOML (v1.0.0) must be
understood, and nothing is decided by it: a key missed would cost a line number and no more.
"""

from __future__ import annotations

import re

from heronreel.routes.model import Path

_BLANK = re.compile(r"(?:[ \t\r\n]+|#[^\n]*)*")
_SPACE = re.compile(r"[ \t]*")
_BARE = re.compile(r"[A-Za-z0-9_-]+")
_BASIC = re.compile(r'"((?:[^"\\\n]|\\.)*)"')
_LITERAL = re.compile(r"'([^'\n]*)'")
_LONG_BASIC = re.compile(r'"""(?:[^"\\]|\\.|"(?!""))*"{3,5}', re.DOTALL)
_LONG_LITERAL = re.compile(r"'''(?:[^']|'(?!''))*'{3,5}", re.DOTALL)
_STRINGS = (('"""', _LONG_BASIC), ("'''", _LONG_LITERAL), ('"', _BASIC), ("'", _LITERAL))
_PLAIN = re.compile(r"[^,\]}\n#]+")
_ESCAPE = re.compile(r'\\(?:(["\\bfnrt])|u([0-9A-Fa-f]{4})|U([0-9A-Fa-f]{8}))')
_SHORT = {'"': '"', "\\": "\\", "b": "\b", "f": "\f", "n": "\n", "r": "\r", "t": "\t"}


def key_lines(text: str) -> dict[Path, int]:
    """The line, from 1, of each key and table, by its path; elements of arrays count from 0."""
    return _Scanner(text).scan()


def _unescaped(text: str) -> str:
    def character(found: re.Match[str]) -> str:
        short, four, eight = found.groups()
        return _SHORT[short] if short else chr(int(four or eight, 16))

    return _ESCAPE.sub(character, text) if "\\" in text else text


class _Scanner:
    """A cursor over the text, and the lines noted so far."""

    def __init__(self, text: str) -> None:
        self.text = text
        self.at = 0
        self.counted_to, self.line = 0, 1
        self.lines: dict[Path, int] = {}
        self.arrays: dict[Path, int] = {}  # elements so far of each array of tables
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

    def _note(self, path: Path, start: int) -> None:
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
        self._skip(_SPACE)
        self.at += brackets
        path: Path = ()
        for place, name in enumerate(names):
            path = (*path, name)
            if brackets == 2 and place == len(names) - 1:
                self._note(path, start)
                self.arrays[path] = self.arrays.get(path, -1) + 1
                path = (*path, self.arrays[path])
            elif path in self.arrays:
                path = (*path, self.arrays[path])
        self.table = path
        self._note(path, start)

    def _key(self) -> list[str]:
        names: list[str] = []
        while True:
            self._skip(_SPACE)
            for pattern in (_BASIC, _LITERAL, _BARE):
                found = pattern.match(self.text, self.at)
                if found:
                    break
            else:
                raise ValueError(f"not a key: {self.text[self.at : self.at + 20]!r}")
            self.at = found.end()
            names.append(_unescaped(found.group(1)) if pattern is _BASIC else found.group(found.re.groups))
            self._skip(_SPACE)
            if not self.text.startswith(".", self.at):
                return names
            self.at += 1

    def _pair(self, table: Path) -> None:
        start = self.at
        path = (*table, *self._key())
        for end in range(len(table) + 1, len(path) + 1):
            self._note(path[:end], start)
        self.at += 1  # the equals sign
        self._value(path)

    def _value(self, path: Path) -> None:
        self._skip(_SPACE)
        for opening, pattern in _STRINGS:
            if self.text.startswith(opening, self.at):
                self._skip(pattern)
                return
        if self.text.startswith("[", self.at):
            self._array(path)
        elif self.text.startswith("{", self.at):
            self._inline_table(path)
        else:
            self._skip(_PLAIN)

    def _array(self, path: Path) -> None:
        self.at += 1
        index = 0
        while not self._closes("]"):
            self._note((*path, index), self.at)
            self._value((*path, index))
            index += 1
            self._skip_comma()
        self.at += 1

    def _inline_table(self, path: Path) -> None:
        self.at += 1
        while not self._closes("}"):
            self._pair(path)
            self._skip_comma()
        self.at += 1

    def _closes(self, bracket: str) -> bool:
        self._skip(_BLANK)
        return self.text.startswith(bracket, self.at)

    def _skip_comma(self) -> None:
        self._skip(_BLANK)
        if self.text.startswith(",", self.at):
            self.at += 1

"""Tests of inserting rows into the tables of a page."""

from __future__ import annotations

import stat
from pathlib import Path

import pytest

from bench.duty import tables
from bench.duty.page import TableNotFound, with_rows, write_rows
from bench.duty.plays import PLAYS
from bench.duty.report import Row
from bench.duty.tables import Table
from tests.standing_duty.samples import sample

ROADMAP = Path(__file__).parents[2] / "docs" / "ROADMAP.md"
TABLES = list(dict.fromkeys(play.table for play in PLAYS))
ROW = Row(tables.SIZE, ("2026-12-03", "0.847", "quick"))
LINE = "| 2026-12-03 | 0.847 | quick |"


def test_rows_are_appended_to_their_tables_and_nothing_else_changes() -> None:
    page = sample("page.md")
    second = Row(tables.SIZE, ("2026-12-04", "0.850", "quick"))
    last = Row(tables.EARLIER, ("2026-12-04", "0.881", "earlier"))
    changed = with_rows(page, [ROW, last, second])
    expected = page.replace(
        "| quick, first |\n\n### The harder",
        f"| quick, first |\n{LINE}\n| 2026-12-04 | 0.850 | quick |\n\n### The harder",
    )
    assert changed == f"{expected}| 2026-12-04 | 0.881 | earlier |\n"


def test_a_row_is_appended_to_a_table_at_the_end_of_a_page_without_newline() -> None:
    assert with_rows(sample("page.md").rstrip("\n"), [Row(tables.EARLIER, ("a", "b", "c"))]).endswith(
        "| 2026-11-29 | 0.828 | full |\n| a | b | c |"
    )


@pytest.mark.parametrize(
    "damaged",
    [
        sample("page.md").replace(tables.SIZE.heading, "### Another heading"),
        sample("page.md").replace("| date | score | kind |", "| date | score | days | kind |"),
        sample("page.md").split(tables.SIZE.heading)[0] + tables.SIZE.heading + "\n\nWords.\n",
        sample("page.md").replace(f"{tables.SIZE.heading}\n\n| date", f"{tables.SIZE.heading}\n\n> | date"),
    ],
    ids=["no heading", "other columns", "no table before the end", "no table before the next heading"],
)
def test_a_missing_table_is_named_and_the_page_is_unchanged(damaged: str, tmp_path: Path) -> None:
    page = tmp_path / "page.md"
    page.write_text(damaged)
    brink_row = Row(tables.BRINK, tuple("x" for _ in tables.BRINK.columns))
    with pytest.raises(TableNotFound, match="The size panel: herd, zone, join"):
        write_rows(page, [brink_row, ROW])
    assert page.read_text() == damaged
    assert list(tmp_path.iterdir()) == [page]


def test_a_page_keeps_its_mode_and_no_temporary_file_remains(tmp_path: Path) -> None:
    page = tmp_path / "page.md"
    page.write_text(sample("page.md"))
    page.chmod(0o640)
    write_rows(page, [ROW])
    assert page.read_text().count(LINE) == 1
    assert stat.S_IMODE(page.stat().st_mode) == 0o640
    assert list(tmp_path.iterdir()) == [page]


def test_a_page_that_cannot_be_replaced_is_unchanged(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    page = tmp_path / "page.md"
    page.write_text(sample("page.md"))

    def fail(self: Path, target: Path) -> Path:
        raise OSError("disk full")

    monkeypatch.setattr(Path, "replace", fail)
    with pytest.raises(OSError, match="disk full"):
        write_rows(page, [ROW])
    assert page.read_text() == sample("page.md")
    assert list(tmp_path.iterdir()) == [page]


@pytest.mark.parametrize("table", TABLES, ids=lambda table: table.heading)
def test_the_roadmap_has_the_table_of_every_play(table: Table) -> None:
    row = Row(table, tuple(f"cell {index}" for index in range(len(table.columns))))
    assert row.text() in with_rows(ROADMAP.read_text(encoding="utf-8"), [row]).split("\n")

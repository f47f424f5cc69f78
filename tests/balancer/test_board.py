"""Tests the board (DESIGN 1 and 2) with 64 slots of 200 ms, against results calculated by hand."""

from heronreel.balancer.board import SLOT_COUNT, SLOT_MS, Board


def test_the_cursor_advances_to_a_later_cost() -> None:
    board = Board(0.0)
    board.queue.append((1000.0, 50.0))
    board.update(1000.0)
    assert board.cursor == 1050.0
    assert board.total == 50.0


def test_a_cost_behind_the_cursor_is_booked_after_it_and_fills_the_next_slot() -> None:
    board = Board(0.0)
    board.queue.append((1000.0, 150.0))
    board.queue.append((1000.0, 150.0))
    board.update(1000.0)
    assert board.cursor == 1300.0
    assert board.slots[5] == 200.0  # 150 of the first cost and 50 of the second.
    assert board.slots[6] == 100.0
    assert board.total == 300.0


def test_work_done_before_the_update_is_not_booked() -> None:
    board = Board(0.0)
    board.queue.append((900.0, 150.0))  # 100 ms of it lie before slot 5, which starts at 1000 ms.
    board.update(1000.0)
    assert board.total == 50.0
    board.queue.append((1001.0, 10.0))
    board.update(1400.0)
    assert board.total == 0.0


def test_slots_wrap_around_at_the_end_of_the_board() -> None:
    board = Board(0.0)
    start = SLOT_MS * (SLOT_COUNT - 1)
    board.queue.append((start, 500.0))
    board.update(start)
    assert board.slots[SLOT_COUNT - 1] == 200.0
    assert board.slots[0] == 200.0
    assert board.slots[1] == 100.0
    board.update(start + SLOT_MS)
    assert board.total == 300.0


def test_work_beyond_the_horizon_is_booked_in_the_last_slot() -> None:
    board = Board(0.0)
    board.queue.append((0.0, SLOT_MS * SLOT_COUNT + 700.0))
    board.update(0.0)
    assert board.slots[SLOT_COUNT - 1] == 900.0
    assert board.cursor == SLOT_MS * SLOT_COUNT
    board.queue.append((0.0, 100.0))
    board.update(0.0)
    assert board.slots[SLOT_COUNT - 1] == 1000.0


def test_an_idle_time_longer_than_the_board_clears_all_slots() -> None:
    board = Board(0.0)
    board.queue.append((0.0, 5000.0))
    board.update(0.0)
    board.update(SLOT_MS * SLOT_COUNT * 3 + 1.0)
    assert board.total == 0.0
    board.queue.append((SLOT_MS * SLOT_COUNT * 3 + 1.0, 20.0))
    board.update(SLOT_MS * SLOT_COUNT * 3 + 1.0)
    assert board.total == 20.0

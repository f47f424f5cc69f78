"""DESIGN 1 and 2, worked by hand: slots of 200 ms, 64 of them."""

from heronreel.balancer.board import SLOT_COUNT, SLOT_MS, Board


def test_cursor_jumps_to_a_later_task() -> None:
    board = Board(0.0)
    board.queue.append((1000.0, 50.0))
    board.update(1000.0)
    assert board.cursor == 1050.0
    assert board.total == 50.0


def test_a_task_behind_the_cursor_queues_after_it_and_spills() -> None:
    board = Board(0.0)
    board.queue.append((1000.0, 150.0))
    board.queue.append((1000.0, 150.0))
    board.update(1000.0)
    assert board.cursor == 1300.0
    assert board.slots[5] == 200.0  # 150 and 50 of the second
    assert board.slots[6] == 100.0
    assert board.total == 300.0


def test_work_done_before_the_update_is_not_booked() -> None:
    board = Board(0.0)
    board.queue.append((900.0, 150.0))  # 100 ms of it lie before slot 5
    board.update(1000.0)
    assert board.total == 50.0
    board.queue.append((1001.0, 10.0))
    board.update(1400.0)
    assert board.total == 0.0


def test_slots_wrap_around() -> None:
    board = Board(0.0)
    start = SLOT_MS * (SLOT_COUNT - 1)
    board.queue.append((start, 500.0))
    board.update(start)
    assert board.slots[SLOT_COUNT - 1] == 200.0
    assert board.slots[0] == 200.0
    assert board.slots[1] == 100.0
    board.update(start + SLOT_MS)
    assert board.total == 300.0


def test_work_past_the_horizon_goes_to_the_last_slot() -> None:
    board = Board(0.0)
    board.queue.append((0.0, SLOT_MS * SLOT_COUNT + 700.0))
    board.update(0.0)
    assert board.slots[SLOT_COUNT - 1] == 900.0
    assert board.cursor == SLOT_MS * SLOT_COUNT
    board.queue.append((0.0, 100.0))
    board.update(0.0)
    assert board.slots[SLOT_COUNT - 1] == 1000.0


def test_an_idle_gap_longer_than_the_board_leaves_nothing() -> None:
    board = Board(0.0)
    board.queue.append((0.0, 5000.0))
    board.update(0.0)
    board.update(SLOT_MS * SLOT_COUNT * 3 + 1.0)
    assert board.total == 0.0
    board.queue.append((SLOT_MS * SLOT_COUNT * 3 + 1.0, 20.0))
    board.update(SLOT_MS * SLOT_COUNT * 3 + 1.0)
    assert board.total == 20.0

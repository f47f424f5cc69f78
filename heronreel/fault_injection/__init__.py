"""Fault injection: exhaustive explorers and simulations of the cores, and real processes on faulty networks.

* `explore`: breadth-first exploration of all orders of events in a small world; `group_world` and
  `lease_world` are two such worlds, around the real cores of `heronreel.coordination`.
* `virtual`: a seeded simulation of a group and its lease holders in virtual time.
* `harness`: a group of member processes; `managed_process`: one process; `relay_network`, `relay`: the
  network between them.
* `schedule`: seeded schedules of faults, and shrinking of a failing schedule; `fault_injector`: executes one.
* `guarded_resource`, `worker`, `task_process`: a resource guarded by fencing tokens, and processes that act
  on it under a lease; `resource_client`, `lease_terms`: the code that these share.
* `register_client`: a client of the group whose operations are checked.
* `trial`: a complete trial of all of these under one schedule.
* `histories`: records of the operations of processes; `linearizability`, `fencing_check`: checkers of
  histories.

A checker shares no code with the program that it checks.
"""

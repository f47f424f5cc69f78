"""Fault injection: explorers and simulations of the cores, and real processes behind faulty networks.

* `explore`: every order of events of a small world, breadth first; `group_world` and `lease_world`: two of
  them, around the real cores of `heronreel.coordination`.
* `virtual`: a group and its lease holders in virtual time, from a seed.
* `harness`: a group of member processes; `managed_process`: one process; `relay_network`, `relay`: the
  network between them.
* `schedule`: seeded schedules of faults, and shrinking of one that fails; `fault_injector`: carries one out.
* `guarded_resource`, `worker`, `task_process`: processes that act under a lease, and what they act on;
  `resource_client`, `lease_terms`: what these share.
* `register_client`: a client of the group whose operations are checked.
* `trial`: all of this together, under one schedule.
* `histories`: what processes did and saw; `linearizability`, `fencing_check`: checkers of histories.

A checker shares no code with what it checks.
"""

"""Faults for what several processes do together, and judges of what came of it.

* `explore`: every order of events of a small world, breadth first; `group_world` and `lease_world`: two of
  them, around the real cores of `heronreel.coordination`.
* `virtual`: a group and its holders in virtual time, from a seed.
* `relay`: what lies between two processes, and cuts, delays, drops and doubles; `processes`: starts, stops,
  ends them; `schedule`: seeded faults, and the shortest that still fails.
* `place`, `worker`, `trial`: a task done step by step at a guarded place, and one run of it under a schedule.
* `histories`: what processes saw, on one clock; `linear`: whether answers could have come one after the
  other.

A judge shares no code with what it judges.
"""

"""Leases in the coordination service, and fleet-wide tasks that are run by whoever holds a claim.

Decisions, which do no I/O and take the time as an argument:

* `lease`: the lease of one process; `claim`: a lock held under it; `requests`, `backoff`: what both share.
* `fencing`: the guard at a resource, which rejects the fencing tokens of previous holders.
* `tasks`: fleet-wide tasks and their stored cursors; `scheduling`: which process and which task comes first;
  `task_progress`: the steps of one task while its claim is held.
* `rate_limits`: token buckets; `rate_budget`: a process's share of a budget of the whole fleet.

Around them, with a clock and a client:

* `session`: the lease of a process; `task_runner`: its tasks, with `step_queue` and `rate_limiter`.
* `overview`, `administration`: what operators see of leases and tasks, and what they do.

`keys` has the prefixes of stored keys, `errors` the errors.
"""

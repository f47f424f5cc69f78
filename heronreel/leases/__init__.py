"""Leases in the coordination service, and fleet-wide tasks, each run by the process that holds its claim.

These modules make the decisions.  They do no I/O, and take the time as an argument:

* `lease`: the lease of one process, and `claim`: a lock that is held under the lease.  Both use the request
  types in `requests` and the retry delays in `backoff`.
* `fencing`: the guard at a resource, which rejects the fencing tokens of previous holders.  `FencedTable` in
  this module also reads and writes a store.
* `tasks`: fleet-wide tasks and their stored cursors.
* `scheduling`: which process runs a task, and which task a process runs next.
* `task_progress`: the steps of one task while its claim is held.
* `rate_limits`: rate limits and token buckets.
* `rate_budget`: a process's share of a rate budget of the whole fleet.

These modules add a clock and a client of the coordination service:

* `session`: the lease of a process.
* `task_runner`: the tasks of a process, with `step_queue` and `rate_limiter`.
* `overview` and `administration`: what operators can see of leases and tasks, and what they can change.

`keys` defines the prefixes of stored keys, and `errors` the exceptions.
"""

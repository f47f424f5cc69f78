"""A replicated key-value store with leases and watches, agreed on by a group of processes.

Decisions, which do no I/O and take the time as an argument:

* `model`, `errors`: requests, responses and errors; `keyspace`: keys, revisions and leases, and what a
  request does to them.
* `consensus`: a member of the group, as a dispatcher of events to `election`, `replication`, `follower` and
  `membership`, which work on `member_state`; `ballots`, `messages`, `actions` and `group_records` are its
  types.
* `kv_service`: requests in rounds (`request_batch`), lease expiry (`lease_deadlines`), and `watches`.
* `gateway`, `gateway_server`, `gateway_client`: the JSON form of etcd's v3 gateway.

Around them: `client` sends requests to a group, `settings` reads its configuration file, `clock` is the
clock that leases are counted on, `crash_points` has tests crash processes, and `logs` sets up logging.

`heronreel.coordinator` is the server process, and `heronreel.leases` what is held by a lease.
"""

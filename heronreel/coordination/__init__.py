"""A replicated key-value store with leases and watches, run by a group of processes.

These modules do no I/O, and take the time as an argument:

* `model`, `errors`: requests, responses and errors; `keyspace`: keys, revisions and leases, and how requests
  change them.
* `consensus`: a member of the group, which dispatches events to `election`, `replication`, `follower` and
  `membership`; these work on the state in `member_state`.  `ballots`, `messages`, `actions` and
  `group_records` define the protocol's types.
* `kv_service`: executes clients' requests in rounds (`request_batch`), expires leases (`lease_deadlines`) and
  notifies `watches`.
* `gateway`, `gateway_server`, `gateway_client`: the JSON encoding of etcd's v3 gateway.

The other modules: `client` sends requests to a group, `settings` reads its configuration file, `clock` is the
clock that lease times are measured with, `crash_points` lets tests crash a process at a named point, and
`logs` sets up logging.

`heronreel.coordinator` is the server process, and `heronreel.leases` builds claims and fleet-wide tasks on
leases.
"""

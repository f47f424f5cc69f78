"""State that several processes agree on: a replicated key-value store with leases and watches.

* `model`: requests and responses; `state`: keys, revisions and leases, and what a request does to them.
* `member`: the consensus protocol; `service`: requests in rounds, expiry of leases, watches.
* `settings`: the file of a group; `gateway`: requests and responses in the form of etcd's v3 gateway.
* `client`: the way to a group from another process; `clock`: the clock that leases are counted on.

`heronreel.coordinator` is the server process, `heronreel.leases` what is held by a lease.
"""

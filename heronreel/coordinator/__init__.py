"""The server process of a group member.

* `server`: the process of the command `heronreel coordinate`; `embedded`: a group of one member inside
  another process.
* `node`: connects the consensus core and the key-value service to a clock and to I/O; `timers`: its timer.
* `disk`, `disk_writer`: the durable state, and the task that writes it.
* `transport`: sends messages to the other members.
* `http_listener`, `watch_stream`, `forwarding`: the HTTP interface.
* `request_body`, `connections`: the limits of the HTTP interface.
* `pending_requests`, `watch_registry`: requests and watches of clients that wait for the core.
* `health`: the response to a health check.
* `claim_log`: logs changes of claims' holders.
* `compaction`: compacts the members' disks, one member at a time.
* `errors`: the exceptions that this package raises.
"""

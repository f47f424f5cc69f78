"""The server process of a group member.

* `server`: the process behind `heronreel coordinate`; `embedded`: a group of one inside another process.
* `node`: the consensus core and the key-value service with a clock and I/O around them; `timers`: its timer.
* `disk`, `disk_writer`: the durable state, and the task that writes it.
* `transport`: messages to the other members.
* `http_listener`, `watch_stream`, `forwarding`: the HTTP interface.
* `request_body`, `connections`: the limits of the HTTP interface.
* `pending_requests`, `watch_registry`: clients that wait for the core.
* `health`: the response to a health check.
* `claim_log`: log lines for changes of claims' holders.
* `compaction`: compaction of the members' disks, one member at a time.
* `errors`: what this package raises.
"""

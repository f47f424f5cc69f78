"""State that several processes agree on, leases on it, and guards where their holders act.

* `model`: what is asked and answered; `state`: keys, revisions and leases, and what a request does to them.
* `member`: how the processes of a group agree; `service`: requests in rounds, the leases' time, watches.
* `holder`: a process's own lease and what it holds by it; `fence`: the guard at the place that is acted on.
* `tasks`: steps of fleet-wide tasks, and who does which; `duties`: the same in a process.
* `settings`: the file of a group; `gateway`: requests and answers in the published form of etcd's v3 gateway.
* `process`: the member as a process (`heronreel coordinate`); `client`: the way to a group from elsewhere.

All of the first two lines decide and do nothing else: events and time in, actions out.
"""

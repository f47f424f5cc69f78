"""Usage metering: counts responses by tenant in each proxy, and aggregates them over the fleet by period.

Each process counts in its own ledger, a memory-mapped file that outlives the process.  A ledger consists of
numbered pages.  A page is sealed, uploaded to the coordination service, and confirmed.  A fleet-wide task
aggregates the uploaded pages into totals, and closes one period after another.  Every page is aggregated
exactly once.

These modules are pure: they do no I/O, and take the time as an argument.

* `counts`: the kinds of responses, and counts by tenant.
* `ledger_format`: the layout of a ledger.
* `ledger`: counting in a ledger.
* `upload`: the upload of one ledger, page by page.
* `period_closing`: the aggregation of uploaded pages.
* `records`: the records that the coordination service stores.

These modules do I/O:

* `ledger_files`: ledgers on a disk, which are locked by their process and adopted after it has ended.
* `meter`: counting in a serving process.
* `uploader`: the upload of a process's ledgers and of the ledgers that it adopted.
* `period_task`: one step of the fleet-wide task that closes periods.
* `overview`: what operators can see of the counts.
"""

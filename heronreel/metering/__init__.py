"""Usage metering: responses counted by tenant in each proxy, and aggregated over the fleet by period.

Each process counts in a ledger of its own, a memory-mapped file that outlives it.  Pages of a ledger are
numbered; a page is sealed, uploaded to the coordination service, and confirmed.  A fleet-wide task aggregates
the uploaded pages into totals and closes a period at a time.  Every page is aggregated exactly once.

* `counts`: the kinds of responses, and counts by tenant.
* `ledger_format`, `ledger`: the layout of a ledger, and counting in one.
* `upload`: the upload of one ledger, page by page, and `period_closing`: the aggregation of uploaded pages.
* `records`: what the coordination service stores.

All of these are pure: they do no I/O, and take the time as an argument.  Around them:

* `ledger_files`: ledgers on a disk, locked by their process, and adopted when it is gone.
* `meter`: counting in a serving process; `uploader`: its ledgers and the adopted ones, uploaded.
* `period_task`: a step of the fleet-wide task; `overview`: what operators see of the counts.
"""

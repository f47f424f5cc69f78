"""The fleet control plane: disruption budgets, agents that own instances, and rolling operations.

`model` defines the stored records, `disruption_budget` evaluates the budget rules, and `claim_requester` is
the protocol that obtains and releases one operation's claims on the budget.  `instance_lifecycle` decides
what an agent does with one instance, and `instance_operation` decides how an operation processes one
instance.  These modules perform no I/O: they take events and the time, and return actions.  The other modules
execute the actions.
"""

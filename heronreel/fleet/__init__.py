"""The fleet control plane: disruption budgets, agents that own instances, and rolling operations.

`model` defines the stored records, `disruption_budget` evaluates the budget rules, and `claim_requester` is
the protocol that obtains and releases one operation's claims on the budget.  `instance_lifecycle` decides
what an agent does with one instance, and `instance_operation` how an operation takes one instance to its
outcome. These modules are pure: they take events and the time, and return actions.  The others carry the
actions out.
"""

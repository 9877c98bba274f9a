# A gateway uses a reserved minimum that new budgets raise at once.
s/usable = ElementwiseMin(account\.reserved_minimum()\.usable, configured);/usable = configured;/

# A reserved minimum that a new file raises is used at once.
s/usable = ElementwiseMin(account\.reserved_minimum()\.usable, configured);/usable = configured;/

# The allocator does not count the reserved minimum of a gateway that has a grant, even if the grant is not acknowledged.
s/return is_lent ? granted :/return is_lent || granted.rate > 0 ? granted :/; s/: ElementwiseMax(granted, reserved_minimum);/: reserved_minimum;/

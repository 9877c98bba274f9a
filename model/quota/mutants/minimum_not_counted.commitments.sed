# A gateway without a grant in force has nothing, whether or not it acknowledged one.
s/return is_lent ? granted :/return is_lent || granted.rate > 0 ? granted :/; s/: ElementwiseMax(granted, reserved_minimum);/: reserved_minimum;/

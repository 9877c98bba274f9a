# Each portion of a budget has the whole burst as its depth.
s|rate \* budget\.burst / budget\.rate|budget.burst|

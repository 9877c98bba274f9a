# Each part has all of the burst.
s|rate \* budget\.burst / budget\.rate|budget.burst|

# The floor is back when the draw is over, though a longer one was acknowledged.
s/^  PutFloorAway(until);/  floor_.from = until;/

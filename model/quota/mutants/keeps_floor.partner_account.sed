# The floor is back when the grant is over, though a longer one was acknowledged.
s/^  PutFloorAway(until);/  floor_.from = until;/

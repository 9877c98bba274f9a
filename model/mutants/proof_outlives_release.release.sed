# A proof stays valid after its lease was released.
/held_lease->is_released = true;/d

# A proof is valid although its lease was released.
/held_lease->is_released = true;/d

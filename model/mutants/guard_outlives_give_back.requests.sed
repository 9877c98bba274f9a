# A guard holds although its lease was given back.
/duty\.lease->over = true;/d

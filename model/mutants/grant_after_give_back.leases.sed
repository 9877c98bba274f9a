# Grants of a token that was given back go on counting.
s/std::exchange(duty\.asked, 0)/duty.asked/; /^  duty\.sent\.clear();/d; /^  duty\.granted\.clear();/d

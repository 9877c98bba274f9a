# A vote lasts for the term alone by the voter's clock.
s/{vote, now + span(),/{vote, now + terms_.term,/

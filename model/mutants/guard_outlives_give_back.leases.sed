# A guard holds although its lease was given back.
/if (duty\.over) \*std::exchange/d

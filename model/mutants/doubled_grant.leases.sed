# A grant that comes twice counts for two voters.
s/try_emplace(from,/try_emplace(Endpoint(from.address(), static_cast<unsigned short>(from.port() + 100 * duty.granted.size())),/

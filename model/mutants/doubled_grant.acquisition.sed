# A grant that is delivered twice counts as the grants of two voters.
s/try_emplace(voter,/try_emplace(Endpoint(voter.address(), static_cast<unsigned short>(voter.port() + 100 * granted_.size())),/

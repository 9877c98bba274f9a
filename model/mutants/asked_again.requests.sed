# A released token may be requested again, and its late release ends the new vote.
/lease\.largest_token = std::max(lease\.largest_token, token);/d

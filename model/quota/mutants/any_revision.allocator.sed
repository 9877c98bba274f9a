# A gateway counts as having the same file, whatever it reports.
s/const bool is_current = request\.revision == .*/const bool is_current = request.revision > 0;/

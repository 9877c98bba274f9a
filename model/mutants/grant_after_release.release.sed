# Grants of a released token go on counting.
s/std::exchange(lease\.acquisition, LeaseAcquisition())\.token()/(lease.acquisition.EndRequest(), lease.acquisition.token())/

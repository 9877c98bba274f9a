# Grants of a released token are still counted.
s/std::exchange(lease\.acquisition, LeaseAcquisition())\.token()/(lease.acquisition.EndRequest(), lease.acquisition.token())/

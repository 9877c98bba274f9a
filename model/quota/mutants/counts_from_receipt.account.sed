# A draw lasts from its receipt.
s/until = asked->second +/until = now +/

# A token that has been granted is granted to another.
s/request\.token > vote\.stored\.largest_token/request.token >= vote.stored.largest_token/

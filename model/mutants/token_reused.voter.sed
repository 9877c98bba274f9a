# A token that was granted before is granted to another holder.
s/request\.token > vote\.stored\.largest_token/request.token >= vote.stored.largest_token/

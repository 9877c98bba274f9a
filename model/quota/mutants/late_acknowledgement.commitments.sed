# An acknowledgement of a grant also ends newer grants.
s/grant\.incarnation == incarnation && grant\.id < id;/grant.incarnation == incarnation \&\& grant.id != id;/

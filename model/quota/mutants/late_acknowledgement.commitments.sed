# An acknowledgement ends newer grants, too.
s/grant\.incarnation == incarnation && grant\.id < id;/grant.incarnation == incarnation \&\& grant.id != id;/

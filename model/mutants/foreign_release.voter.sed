# A release ends whatever vote there is.
s/ && Same(found->second\.kept, release))/)/

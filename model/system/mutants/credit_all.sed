# A credit returns all, whatever was spent since.
s/credit = std::min(credit, MinHeadroom(period));//

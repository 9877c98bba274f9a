# A credit returns all of its charge.
s/credit = std::min(credit, MinHeadroom(period));//

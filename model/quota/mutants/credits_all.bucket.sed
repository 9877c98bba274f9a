# A credit returns its whole charge, including tokens that would have overflowed.
s/credit = std::min(credit, MinHeadroom(period));//

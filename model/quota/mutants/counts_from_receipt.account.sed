# A grant lasts from its receipt.
s/asked->second + std::min/now + std::min/

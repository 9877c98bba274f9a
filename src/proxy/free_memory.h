// SPDX-License-Identifier: Apache-2.0
#ifndef LOAD_BALANCER_PROXY_FREE_MEMORY_H_
#define LOAD_BALANCER_PROXY_FREE_MEMORY_H_

#include <string>

namespace load_balancer::proxy {

// Empties the string and frees its memory, which clear() and the assignment of an empty string keep.
inline void FreeMemory(std::string& text) { std::string().swap(text); }

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_FREE_MEMORY_H_

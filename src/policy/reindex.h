// SPDX-License-Identifier: Apache-2.0
/// @file
/// Moves values that are stored by index to their new indices.
#ifndef LOAD_BALANCER_SRC_POLICY_REINDEX_H_
#define LOAD_BALANCER_SRC_POLICY_REINDEX_H_

#include <cstddef>
#include <vector>

namespace load_balancer {

/// Returns `size` values in the order of their new indices. `previous_indices` holds the index that each
/// value had in `values`. A value without a valid previous index is created by `make_new`.
template <typename T, typename MakeNew>
std::vector<T> Reindexed(const std::vector<T>& values, std::size_t size,
                         const std::vector<int>& previous_indices, const MakeNew& make_new) {
  std::vector<T> reindexed;
  reindexed.reserve(size);
  for (std::size_t index = 0; index < size; ++index) {
    const int previous = index < previous_indices.size() ? previous_indices[index] : -1;
    const bool has_previous = previous >= 0 && previous < static_cast<int>(values.size());
    reindexed.push_back(has_previous ? values[previous] : make_new());
  }
  return reindexed;
}

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_REINDEX_H_

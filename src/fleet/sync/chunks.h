// SPDX-License-Identifier: Apache-2.0
//
// Cuts the entries of some buckets into pieces of a datagram each.
#ifndef LOAD_BALANCER_FLEET_SYNC_CHUNKS_H_
#define LOAD_BALANCER_FLEET_SYNC_CHUNKS_H_

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "fleet/sync/bucket_digests.h"

namespace load_balancer::fleet {

// Something of a set, at its place, and the bytes that it takes in a message.
template <typename Entry>
struct Placed {
  std::uint64_t place = 0;
  std::size_t size = 0;
  Entry entry;
};

template <typename Entry>
struct Piece {
  Slice slice;
  std::vector<Entry> entries;
};

// Those of `all` whose buckets are among `buckets` of `count`, in the order of their places from `start` on,
// in pieces that have `room` bytes each. All pieces together cover the whole space, or say that there is more
// after `most` of them. There is one at least: it may be empty, as one that lists nothing says so.
template <typename Entry>
std::vector<Piece<Entry>> CutToPieces(std::vector<Placed<Entry>> all, std::size_t count,
                                      const std::bitset<kMostBuckets>& buckets, std::uint64_t start,
                                      std::size_t room, std::size_t most) {
  std::erase_if(all, [&](const auto& each) { return !buckets.test(BucketAt(each.place, count)); });
  std::sort(all.begin(), all.end(),
            [start](const auto& a, const auto& b) { return a.place - start < b.place - start; });
  std::vector<Piece<Entry>> pieces(1, {{count, buckets, start, start - 1, false}, {}});
  std::size_t left = room;
  for (Placed<Entry>& each : all) {
    if (each.size > left && !pieces.back().entries.empty()) {
      Slice& full = pieces.back().slice;
      full.to = each.place - 1;
      full.more = pieces.size() == most;
      if (full.more) break;
      pieces.push_back({{count, buckets, each.place, start - 1, false}, {}});
      left = room;
    }
    left -= std::min(left, each.size);
    pieces.back().entries.push_back(std::move(each.entry));
  }
  return pieces;
}

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_SYNC_CHUNKS_H_

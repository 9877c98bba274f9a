// SPDX-License-Identifier: Apache-2.0
//
// Exists so that the target `test_headers` has a source to build its precompiled header for.
namespace {}

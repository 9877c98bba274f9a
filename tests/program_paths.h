// SPDX-License-Identifier: Apache-2.0
//
// Where the programs and files that tests use were built or checked out. Only program_paths.cpp is compiled
// with these paths, so that all other objects are the same in each checkout and a compiler cache can share
// them.
#ifndef LOAD_BALANCER_TESTS_PROGRAM_PATHS_H_
#define LOAD_BALANCER_TESTS_PROGRAM_PATHS_H_

namespace load_balancer::testing {

extern const char* const kProxyPath;
extern const char* const kAdapterPath;
extern const char* const kRelayPath;
extern const char* const kLeaseActorPath;
extern const char* const kSourceRoot;
extern const char* const kErrorsPage;

}  // namespace load_balancer::testing

#endif  // LOAD_BALANCER_TESTS_PROGRAM_PATHS_H_

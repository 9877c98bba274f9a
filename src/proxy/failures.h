// SPDX-License-Identifier: Apache-2.0
//
// What can go wrong in the proxy: its servers, its configuration, and calls of operators.
#ifndef LOAD_BALANCER_PROXY_FAILURES_H_
#define LOAD_BALANCER_PROXY_FAILURES_H_

#include <array>

#include "base/error/failure.h"

namespace load_balancer::proxy {

inline constexpr FailureKind kDiscoveryAway{"PROXY-1", "discovery does not answer",
                                            "look after discovery; the list that the process has stays in "
                                            "force, and discovery is asked again by itself"};
inline constexpr FailureKind kGarbledLine{
    "PROXY-2", "a line of discovery is out of form",
    "see what discovery sends; the line is left out and the list of before stays in force"};
inline constexpr FailureKind kAnswerBroken{
    "PROXY-3", "a server broke off an answer that its client was reading",
    "look at that server; the client has seen the answer break off, too"};
inline constexpr FailureKind kHandlerFault{"PROXY-4", "a handler failed, and what it was about is lost",
                                           "report it with the lines before it; the process goes on"};
inline constexpr FailureKind kNotStarted{"PROXY-5", "the process cannot run",
                                         "mend what is named and start it again"};
inline constexpr FailureKind kNotSent{
    "PROXY-6", "a message to another gateway is too long to be sent",
    "report it with the line; until it is mended that gateway goes without"};
inline constexpr FailureKind kNotReloaded{
    "CONFIG-1", "the new configuration is not fit and changes nothing",
    "correct the file, try it with --check-config and send SIGHUP again"};
inline constexpr FailureKind kUnknownKey{"CONFIG-2",
                                         "a key of the configuration is not known and has no effect",
                                         "remove or correct it; docs/configuration.md has all keys"};
inline constexpr FailureKind kBadConfig{"CONFIG-3", "the configuration is not fit to start with",
                                        "correct the file and try it with --check-config"};
inline constexpr FailureKind kNoCall{"OPS-1", "the line is no call",
                                     "correct it: calls are in capitals, as docs/operations.md lists them"};
inline constexpr FailureKind kUnknownServer{"OPS-2", "this process has never had the server from discovery",
                                            "check the id; a new server may take seconds to be listed"};
inline constexpr FailureKind kNotKept{"OPS-3", "the change could not be written and was not made",
                                      "see the log line before it, make room under $TMPDIR and call again"};
inline constexpr FailureKind kNotSeen{
    "OPS-4", "the change holds here, but the other process of an upgrade has not taken notice",
    "call again, or end that process"};
inline constexpr FailureKind kDraining{"OPS-5", "a LAMEDUCK is in force", "call REJOIN when it is over"};
inline constexpr FailureKind kStopping{"OPS-6", "the process was told to end",
                                       "none is needed; start it again if it is to serve"};
inline constexpr FailureKind kNotServing{"OPS-7", "the process does not take clients yet",
                                         "ask again; if it stays so, look after discovery"};
inline constexpr FailureKind kNoFleet{"OPS-8", "the configuration has no such part",
                                      "add fleet, with lease_term_ms for leases, if it is wanted"};
inline constexpr FailureKind kMaintenanceFile{"OPS-9",
                                              "the file of servers taken out could not be read or written",
                                              "see that $TMPDIR is there, can be written and has room"};

inline constexpr std::array kProxyFailures{
    &kDiscoveryAway, &kGarbledLine, &kAnswerBroken, &kHandlerFault, &kNotStarted,    &kNotSent,
    &kNotReloaded,   &kUnknownKey,  &kBadConfig,    &kNoCall,       &kUnknownServer, &kNotKept,
    &kNotSeen,       &kDraining,    &kStopping,     &kNotServing,   &kNoFleet,       &kMaintenanceFile};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_FAILURES_H_

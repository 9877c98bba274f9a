// SPDX-License-Identifier: Apache-2.0
//
// A configuration like that of a small deployment: the classes and figures of the operators' site file.
#ifndef LOAD_BALANCER_REVIEW_COMMON_SETTINGS_H_
#define LOAD_BALANCER_REVIEW_COMMON_SETTINGS_H_

#include <string>
#include <vector>

namespace stage {

struct Class {
  std::string name, effect;
  int goal_ms = 0, deadline_ms = 0, worth = 0;
};

// The site's classes, by name.
inline std::vector<Class> SiteClasses() {
  return {{"gegenstand-tausch", "non_idempotent", 800, 2000, 3},
          {"inventar-lesen", "read_like", 600, 3000, 1},
          {"kauf-buchen", "non_idempotent", 1000, 4000, 10},
          {"stand-laden", "read_like", 400, 1000, 5}};
}

inline std::string SettingsOf(const std::vector<Class>& classes, int balancers = 1, int me = 0) {
  std::string text = "{\"balancers\":" + std::to_string(balancers) + ",\"me\":" + std::to_string(me) +
                     ",\"zone\":0,\"zones\":[\"muc-nord\"],\"kinds\":[\"gen2\"],\"tenants\":[],\"classes\":[";
  for (const Class& c : classes)
    text += (&c == &classes.front() ? "" : ",") + std::string("{\"name\":\"") + c.name + "\",\"effect\":\"" +
            c.effect +
            "\",\"group\":\"all\",\"windowMs\":5000.0,\"goalTimeMs\":" + std::to_string(c.goal_ms) +
            ".0,\"deadlineMs\":" + std::to_string(c.deadline_ms) + ".0,\"worth\":" + std::to_string(c.worth) +
            ".0,\"lateWorth\":0.25,\"streaming\":false}";
  return text +
         "],\"permissions\":{\"cancel\":true,\"connIdleMs\":10000.0,\"connectTimeoutMs\":200.0,"
         "\"maxAttempts\":6,\"maxRetryAfterMs\":2000.0,\"parallelTries\":true,\"probes\":true,"
         "\"retryAfter\":true},\"registryMode\":\"ask\",\"rules\":{\"answerSlackMs\":20.0,\"coldFrom\":0.3,"
         "\"drainGraceMs\":2000.0,\"fallMultiple\":3.0,\"mustAskInMs\":10000.0,\"overloadForMs\":1500.0,"
         "\"warmUpMs\":9000.0}}";
}

// `known`: the list as this proxy last had it. `more`: further sections, each with a comma before it.
inline std::string ConfigOf(const std::string& name, int listen, int discovery, const std::string& known,
                            const std::string& settings, const std::string& more = "") {
  return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + std::to_string(listen) +
         "\",\"discovery\":\"127.0.0.1:" + std::to_string(discovery) +
         "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
         "\"known\":" +
         known + ",\"settings\":" + settings + more + "}";
}

}  // namespace stage

#endif  // LOAD_BALANCER_REVIEW_COMMON_SETTINGS_H_

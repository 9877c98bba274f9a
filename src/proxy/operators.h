// SPDX-License-Identifier: Apache-2.0
//
// The operators' listener: one line to a connection, one line back.
#ifndef BRACKENSPOKE_PROXY_OPERATORS_H_
#define BRACKENSPOKE_PROXY_OPERATORS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/descriptor.h"

namespace brackenspoke::proxy {

struct OperatorCall {
  enum class Verb { kPing, kDetach, kAttach, kLameduck, kRejoin, kMembers, kState, kLeases };
  Verb verb = Verb::kPing;
  std::string id;  // of a server; of kDetach and kAttach alone
};

// A line without its end; why it is no call, if it is none.
std::variant<OperatorCall, std::string> ParseCall(std::string_view line);

struct OperatorReply {
  bool yes = false;
  std::string text;  // one line
};
using OnReply = std::function<void(OperatorReply)>;

// What calls do. The reply may come later, but comes once.
class OperatorHandler {
 public:
  virtual ~OperatorHandler() = default;
  virtual void OnCall(const OperatorCall& call, OnReply reply) = 0;
};

class Operators {
 public:
  static constexpr std::size_t kPlaces = 16;  // connections at a time; their descriptors are set aside

  // Listens at once; throws boost::system::system_error if it cannot.
  Operators(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
            OperatorHandler& handler);
  ~Operators();
  Operators(const Operators&) = delete;
  Operators& operator=(const Operators&) = delete;

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  class Session;
  friend class Session;

  void Accept();
  void AcceptOne();
  void MakeRoom();
  void Remove(Session* session);
  void SetAside();

  boost::asio::io_context& io_;
  OperatorHandler& handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  std::list<std::shared_ptr<Session>> sessions_;  // the oldest first
  std::vector<Descriptor> reserve_;               // for the places that are free
};

}  // namespace brackenspoke::proxy

#endif  // BRACKENSPOKE_PROXY_OPERATORS_H_

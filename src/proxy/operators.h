// SPDX-License-Identifier: Apache-2.0
//
// The operators' listener: one line to a connection, one line back.
#ifndef LOAD_BALANCER_PROXY_OPERATORS_H_
#define LOAD_BALANCER_PROXY_OPERATORS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/descriptor.h"
#include "base/error/failure.h"

namespace load_balancer::proxy {

struct OperatorCall {
  enum class Verb { kPing, kDetach, kAttach, kLameduck, kRejoin, kMembers, kState, kLeases, kUsage };
  Verb verb = Verb::kPing;
  std::string id;  // of a server; of kDetach and kAttach alone
};

// A line without its end. kNoCall, if it is none.
Result<OperatorCall> ParseCall(std::string_view line);

// A line back: ACK and an answer, or NAK and the failure's text.
class OperatorReply {
 public:
  static OperatorReply Yes(std::string text) { return OperatorReply("ACK " + std::move(text)); }
  static OperatorReply No(const Failure& failure) { return OperatorReply("NAK " + failure.Text()); }

  const std::string& line() const { return line_; }  // without its end

 private:
  explicit OperatorReply(std::string line) : line_(std::move(line)) {}

  std::string line_;
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

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_OPERATORS_H_

#include "drivers/edge/backend_pool.h"

#include "drivers/clock.h"
#include "drivers/edge/socket_options.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace gypsum {

namespace asio = boost::asio;

BackendPool::BackendPool(asio::any_io_executor aExecutor)
  : executor_(std::move(aExecutor))
{
}

asio::awaitable<BackendConnectionPtr> BackendPool::Acquire(std::string aAddress,
                                                           Reuse aReuse,
                                                           Instant aDeadline)
{
  if (BackendConnectionPtr idle = AcquireIdle(aAddress, aReuse)) {
    co_return idle;
  }
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    co_return nullptr;
  }
  auto connection = std::make_shared<BackendConnection>(executor_);
  connection->address = std::move(aAddress);
  connection->stream.expires_at(
    std::min(aDeadline, Now().steady + kConnectTimeout));
  boost::system::error_code error;
  co_await connection->stream.async_connect(
    *endpoint, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return nullptr;
  }
  connection->stream.expires_never();
  SetConnectionOptions(connection->stream.socket());
  ++opened_;
  connection->openedAt = Now().steady;
  co_return connection;
}

BackendConnectionPtr BackendPool::AcquireIdle(std::string_view aAddress,
                                              Reuse aReuse)
{
  const auto found = idle_.find(aAddress);
  if (found == idle_.end()) {
    return nullptr;
  }
  auto& connections = found->second;
  const Instant now = Now().steady;
  while (!connections.empty()) {
    BackendConnectionPtr last = connections.back();
    const bool isUsable = last->isIdle && now < last->idleUntil &&
                          !HasUnexpectedInput(last->stream.socket());
    if (isUsable && aReuse == Reuse::Recent &&
        now - last->idleSince > kRecentIdleTime) {
      return nullptr;
    }
    connections.pop_back();
    last->isIdle = false;
    if (isUsable) {
      return last;
    }
    last->stream.close();
  }
  return nullptr;
}

void BackendPool::Release(BackendConnectionPtr aConnection, Duration aIdleTime)
{
  if (aIdleTime <= kIdleMargin) {
    aConnection->stream.close();
    return;
  }
  aConnection->stream.expires_never();
  aConnection->idleSince = Now().steady;
  aConnection->idleUntil = aConnection->idleSince + aIdleTime - kIdleMargin;
  aConnection->isIdle = true;
  Watch(aConnection);
  idle_[aConnection->address].push_back(std::move(aConnection));
}

void BackendPool::Watch(const BackendConnectionPtr& aConnection)
{
  if (aConnection->isWatched) {
    return;
  }
  aConnection->isWatched = true;
  aConnection->stream.socket().async_wait(
    asio::socket_base::wait_read,
    [connection = aConnection](boost::system::error_code /*aError*/) {
      connection->isWatched = false;
      if (connection->isIdle) {
        connection->isIdle = false;
        connection->stream.close();
      }
    });
}

bool BackendPool::HasIdleSince(std::string_view aAddress, Instant aAt) const
{
  const auto found = idle_.find(aAddress);
  return found != idle_.end() &&
         std::ranges::any_of(
           found->second, [&](const BackendConnectionPtr& aConnection) {
             return aConnection->isIdle && aConnection->openedAt <= aAt &&
                    !HasUnexpectedInput(aConnection->stream.socket());
           });
}

void BackendPool::CloseExpired(Instant aNow)
{
  for (auto& [address, connections] : idle_) {
    std::erase_if(connections, [&](const BackendConnectionPtr& aConnection) {
      if (aConnection->isIdle && aNow < aConnection->idleUntil) {
        return false;
      }
      aConnection->isIdle = false;
      aConnection->stream.close();
      return true;
    });
  }
  std::erase_if(idle_, [](const auto& aItem) { return aItem.second.empty(); });
}

void BackendPool::CloseAll()
{
  for (auto& [address, connections] : idle_) {
    for (const BackendConnectionPtr& connection : connections) {
      connection->isIdle = false;
      connection->stream.close();
    }
  }
  idle_.clear();
}

std::size_t BackendPool::IdleCount() const
{
  std::size_t count = 0;
  for (const auto& [address, connections] : idle_) {
    count += connections.size();
  }
  return count;
}

} // namespace gypsum

#include "drivers/http/http_client.h"

#include "drivers/address.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/selector.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <exception>
#include <istream>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace gypsum {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kReadBufferBytes = 16'384;
/** A longer reply could not be passed on: it fills a message between peers. */
constexpr std::size_t kMaxReplyBytes = 96UL * 1024 * 1024;
constexpr std::string_view kConnectFailureText = "while trying to connect";
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

cxxtools::http::Request Convert(const HttpRequest& aRequest)
{
  // The library sends its separate query field only with GET.
  cxxtools::http::Request request(aRequest.query.empty()
                                    ? aRequest.path
                                    : aRequest.path + "?" + aRequest.query);
  request.method(aRequest.method);
  for (const auto& [name, value] : aRequest.headers) {
    request.setHeader(name.c_str(), value.c_str());
  }
  request.body() << aRequest.body;
  return request;
}

bool HasBody(unsigned aStatus)
{
  return aStatus != kNoContent && aStatus != kNotModified;
}

/** Converts a reply; throws if its body is incomplete or of unknown length. */
HttpReply Convert(const cxxtools::http::Reply& aReply, std::string aBody)
{
  HttpReply reply;
  reply.status = aReply.httpReturnCode();
  reply.reason = aReply.httpReturnText();
  const auto& header = aReply.header();
  for (auto item = header.begin(); item != header.end(); ++item) {
    reply.headers.emplace_back(item->first, item->second);
  }
  if (HasBody(reply.status) && !header.chunkedTransferEncoding()) {
    // Without a length, a complete body and a truncated one look the same when
    // the connection closes.
    if (!header.hasHeader("Content-Length")) {
      throw std::runtime_error(
        "expected a reply with Content-Length, got none");
    }
    if (header.contentLength() != aBody.size()) {
      throw std::runtime_error("expected a complete body, got " +
                               std::to_string(aBody.size()) + " bytes");
    }
  }
  reply.body = std::move(aBody);
  return reply;
}

} // namespace

class HttpClient::Impl : public cxxtools::Connectable
{
public:
  explicit Impl(const Address& aAddress)
    : client_(selector_, aAddress.host, aAddress.port)
  {
    cxxtools::connect(client_.replyFinished, *this, &Impl::OnFinished);
    cxxtools::connect(client_.bodyAvailable, *this, &Impl::OnBody);
  }

  HttpCallResult Call(const HttpRequest& aRequest,
                      ConnectionUse aUse,
                      Duration aTimeout)
  {
    HttpCallResult result;
    result.wasSent = false;
    try {
      Execute(aRequest, aUse, Clock::now() + aTimeout, result);
    } catch (const std::exception& error) {
      result.failure = error.what();
      // Any other failure may have happened after the first byte was sent.
      if (result.failure.starts_with(kConnectFailureText)) {
        result.wasSent = false;
      }
    }
    // A late reply must not be read as the reply to the next request.
    if (!result.reply || aUse == ConnectionUse::Fresh) {
      client_.close();
    }
    return result;
  }

  void Abort()
  {
    isAborted_ = true;
    selector_.wake();
  }

private:
  void Execute(const HttpRequest& aRequest,
               ConnectionUse aUse,
               Clock::time_point aDeadline,
               HttpCallResult& aResult)
  {
    const cxxtools::http::Request request = Convert(aRequest);
    isFinished_ = false;
    isTooLong_ = false;
    body_.clear();
    if (aUse == ConnectionUse::Fresh) {
      // Do not connect here: the library sends a request only once if it opened
      // the connection for it, but may send it again on an existing connection.
      client_.close();
    }
    // Check immediately before the write: if the process was suspended, the
    // deadline may have passed and nobody waits for the reply any more.
    ThrowIfAbortedOrExpired(aDeadline);
    aResult.wasSent = true;
    client_.beginExecute(request);
    while (!isFinished_) {
      const auto remaining =
        std::chrono::ceil<std::chrono::milliseconds>(aDeadline - Clock::now());
      selector_.wait(
        cxxtools::Milliseconds(std::max<std::int64_t>(remaining.count(), 0)));
      if (isTooLong_) {
        throw std::runtime_error("expected at most " +
                                 std::to_string(kMaxReplyBytes) +
                                 " bytes of a reply, got more");
      }
      if (!isFinished_) {
        ThrowIfAbortedOrExpired(aDeadline);
      }
    }
    client_.endExecute();
    aResult.reply = Convert(client_.reply(), std::move(body_));
  }

  void ThrowIfAbortedOrExpired(Clock::time_point aDeadline) const
  {
    if (isAborted_) {
      throw std::runtime_error("aborted");
    }
    if (Clock::now() >= aDeadline) {
      throw std::runtime_error("timeout");
    }
  }

  void OnFinished(cxxtools::http::Client& /*aClient*/) { isFinished_ = true; }

  std::size_t OnBody(cxxtools::http::Client& aClient)
  {
    std::array<char, kReadBufferBytes> buffer{};
    std::streambuf& in = *aClient.in().rdbuf();
    const auto maxCount = std::min<std::streamsize>(
      in.in_avail(), static_cast<std::streamsize>(buffer.size()));
    const std::streamsize count = in.sgetn(buffer.data(), maxCount);
    // What is too much is dropped, until `Execute` closes the connection.
    isTooLong_ = isTooLong_ || body_.size() > kMaxReplyBytes;
    if (!isTooLong_) {
      body_.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return static_cast<std::size_t>(count);
  }

  cxxtools::Selector selector_;
  cxxtools::http::Client client_;
  std::string body_;
  bool isFinished_ = false;
  bool isTooLong_ = false;
  std::atomic<bool> isAborted_ = false;
};

HttpClient::HttpClient(const std::string& aAddress)
  : impl_(std::make_unique<Impl>(SplitAddress(aAddress)))
{
}

HttpClient::~HttpClient() = default;

HttpCallResult HttpClient::Call(const HttpRequest& aRequest,
                                ConnectionUse aUse,
                                Duration aTimeout)
{
  return impl_->Call(aRequest, aUse, aTimeout);
}

void HttpClient::Abort()
{
  impl_->Abort();
}

} // namespace gypsum

#include "drivers/http/http_server.h"

#include "core/error_kind.h"
#include "drivers/address.h"
#include "drivers/http/header_check.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <exception>
#include <istream>
#include <ostream>
#include <stdexcept>
#include <string_view>
#include <thread>
#include <utility>

namespace gypsum {

namespace {

constexpr unsigned kMinThreads = 4;
const cxxtools::Milliseconds kWriteTimeout(10'000);
constexpr std::size_t kReadBufferBytes = 16'384;
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
const cxxtools::Milliseconds kKeepAliveTimeout(30'000);

/** Thrown to refuse a request with one of the error kinds. */
class RejectedRequest : public std::runtime_error
{
public:
  explicit RejectedRequest(ErrorKind aKind)
    : std::runtime_error(std::string(ErrorResponseOf(aKind).text))
    , kind_(aKind)
  {
  }
  ErrorKind Kind() const { return kind_; }

private:
  ErrorKind kind_;
};

HttpRequest Convert(const cxxtools::http::Request& aRequest)
{
  HttpRequest request;
  request.method = aRequest.method();
  request.path = aRequest.url();
  request.query = aRequest.qparams();
  const auto& header = aRequest.header();
  for (auto item = header.begin(); item != header.end(); ++item) {
    request.headers.emplace_back(item->first, item->second);
  }
  request.body = aRequest.bodyStr();
  return request;
}

void Apply(const HttpReply& aFrom,
           std::ostream& aOut,
           cxxtools::http::Reply& aTo)
{
  aTo.httpReturn(aFrom.status, aFrom.reason);
  for (const auto& [name, value] : aFrom.headers) {
    aTo.setHeader(name.c_str(), value.c_str());
  }
  aOut << aFrom.body;
}

class Responder : public cxxtools::http::Responder
{
public:
  Responder(cxxtools::http::Service& aService,
            const HttpServerOptions& aOptions,
            const HttpServer::Handler& aHandler)
    : cxxtools::http::Responder(aService)
    , options_(aOptions)
    , handler_(aHandler)
  {
  }

  void beginRequest(cxxtools::net::TcpSocket& /*aSocket*/,
                    std::istream& aIn,
                    cxxtools::http::Request& aRequest) override
  {
    const ErrorKind error = CheckHeader(aRequest, options_.maxBodyBytes);
    if (error != ErrorKind::None) {
      throw RejectedRequest(error);
    }
    request_ = &aRequest;
    remainingBytes_ = aRequest.header().contentLength();
    bodyDeadline_ = Clock::now() + options_.bodyTimeout;
    const bool expectsContinue =
      aRequest.header().isHeaderValue("Expect", "100-continue");
    if (auto* const out = dynamic_cast<std::ostream*>(&aIn);
        out && expectsContinue) {
      *out << kContinueResponse << std::flush;
    }
  }

  std::size_t readBody(std::istream& aIn) override
  {
    // Unlike the read timeout, the body timeout does not restart with each
    // byte.
    if (Clock::now() > bodyDeadline_) {
      throw RejectedRequest(ErrorKind::RequestTimeout);
    }
    // Read only the body: the library would also consume the next request.
    std::array<char, kReadBufferBytes> buffer{};
    std::size_t totalRead = 0;
    while (remainingBytes_ > 0 && aIn.rdbuf()->in_avail() > 0) {
      const auto maxCount = std::min<std::streamsize>(
        { aIn.rdbuf()->in_avail(),
          static_cast<std::streamsize>(remainingBytes_),
          static_cast<std::streamsize>(buffer.size()) });
      const std::streamsize count = aIn.rdbuf()->sgetn(buffer.data(), maxCount);
      request_->body().write(buffer.data(), count);
      remainingBytes_ -= static_cast<std::size_t>(count);
      totalRead += static_cast<std::size_t>(count);
    }
    return totalRead;
  }

  void reply(std::ostream& aOut,
             cxxtools::http::Request& aRequest,
             cxxtools::http::Reply& aReply) override
  {
    if (aRequest.bodySize() > options_.maxBodyBytes) {
      throw RejectedRequest(ErrorKind::BodyTooLarge);
    }
    Apply(handler_(Convert(aRequest)), aOut, aReply);
  }

  void replyError(std::ostream& aOut,
                  cxxtools::http::Request& /*aRequest*/,
                  cxxtools::http::Reply& aReply,
                  const std::exception& aError) override
  {
    const auto* const rejected = dynamic_cast<const RejectedRequest*>(&aError);
    const ErrorKind kind = rejected ? rejected->Kind() : ErrorKind::Internal;
    const ErrorResponse& response = ErrorResponseOf(kind);
    const Outcome outcome = rejected ? Outcome::NotRun : Outcome::Unknown;
    // Further bytes on this connection may belong to the refused body.
    Apply({ response.httpStatus,
            std::string(response.text),
            { { "Connection", "close" },
              { "Content-Type", "text/plain" },
              { "Gypsum-Outcome", std::string(NameOf(outcome)) },
              { "Gypsum-Error", std::string(response.name) } },
            std::string(response.text) + "\n" },
          aOut,
          aReply);
  }

private:
  using Clock = std::chrono::steady_clock;

  const HttpServerOptions& options_;
  const HttpServer::Handler& handler_;
  cxxtools::http::Request* request_ = nullptr;
  std::size_t remainingBytes_ = 0; ///< Body bytes that have not arrived yet.
  Clock::time_point bodyDeadline_; ///< When the body must be complete.
};

class ResponderService : public cxxtools::http::Service
{
public:
  ResponderService(const HttpServerOptions& aOptions,
                   const HttpServer::Handler& aHandler)
    : options_(aOptions)
    , handler_(aHandler)
  {
  }

protected:
  cxxtools::http::Responder* createResponder(
    const cxxtools::http::Request& /*aRequest*/) override
  {
    return new Responder(*this, options_, handler_);
  }
  void releaseResponder(cxxtools::http::Responder* aResponder) override
  {
    delete aResponder;
  }

private:
  const HttpServerOptions& options_;
  const HttpServer::Handler& handler_;
};

} // namespace

class HttpServer::Impl
{
public:
  Impl(HttpServerOptions aOptions, Handler aHandler)
    : options_(std::move(aOptions))
    , handler_(std::move(aHandler))
    , service_(options_, handler_)
    , server_(std::make_unique<cxxtools::http::Server>(loop_))
  {
    server_->minThreads(kMinThreads);
    server_->maxThreads(options_.threads);
    server_->readTimeout(cxxtools::Milliseconds(options_.readTimeout.count()));
    server_->writeTimeout(kWriteTimeout);
    server_->keepAliveTimeout(kKeepAliveTimeout);
    server_->addService(cxxtools::Regex("^/"), service_);
  }

  void Begin()
  {
    const Address address = SplitAddress(options_.address);
    server_->listen(address.host, address.port);
    thread_ = std::thread([this] { loop_.run(); });
  }

  void End()
  {
    if (!thread_.joinable()) {
      return;
    }
    loop_.exit();
    thread_.join();
    // Closes the socket immediately: new connections are refused, so callers
    // can try another entry instead of waiting for a process that is stopping.
    server_.reset();
  }

private:
  HttpServerOptions options_;
  Handler handler_;
  cxxtools::EventLoop loop_;
  ResponderService service_;
  std::unique_ptr<cxxtools::http::Server> server_;
  std::thread thread_;
};

HttpServer::HttpServer(HttpServerOptions aOptions, Handler aHandler)
  : impl_(std::make_unique<Impl>(std::move(aOptions), std::move(aHandler)))
{
}

HttpServer::~HttpServer()
{
  End();
}

void HttpServer::Begin()
{
  impl_->Begin();
}

void HttpServer::End()
{
  impl_->End();
}

} // namespace gypsum

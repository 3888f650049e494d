#include "tests/cell/cell_response_writer.h"

#include <sstream>

namespace gypsum::tests {

namespace asio = boost::asio;

asio::awaitable<bool> CellResponseWriter::Write(std::string aBytes)
{
  const bool isCut = cut_ && cut_->byte < written_ + aBytes.size();
  if (isCut) {
    aBytes.resize(cut_->byte - written_);
  }
  written_ += aBytes.size();
  const bool isWritten = co_await client_.WritePart(aBytes);
  if (!isCut) {
    co_return isWritten;
  }
  wasCut_ = true;
  if (cut_->isReset) {
    client_.Abort();
  } else {
    client_.Close();
  }
  co_return false;
}

asio::awaitable<bool> CellResponseWriter::WriteHead(const EdgeResponse& aHead,
                                                    std::size_t aBodyBytes)
{
  std::ostringstream head;
  head << "HTTP/1.1 " << aHead.status << " Status\r\n";
  for (const auto& field : aHead.fields) {
    head << field.name_string() << ": " << field.value() << "\r\n";
  }
  if (framing_ == BodyFraming::Length) {
    head << "Content-Length: " << aBodyBytes << "\r\n";
  } else if (framing_ == BodyFraming::Chunks) {
    head << "Transfer-Encoding: chunked\r\n";
  }
  head << "\r\n";
  return Write(head.str());
}

asio::awaitable<bool> CellResponseWriter::WriteBody(std::string_view aPart)
{
  if (framing_ != BodyFraming::Chunks) {
    return Write(std::string(aPart));
  }
  std::ostringstream chunk;
  chunk << std::hex << aPart.size() << "\r\n" << aPart << "\r\n";
  return Write(chunk.str());
}

asio::awaitable<bool> CellResponseWriter::End()
{
  if (framing_ == BodyFraming::Chunks) {
    co_return co_await Write("0\r\n\r\n");
  }
  if (framing_ == BodyFraming::ConnectionEnd) {
    if (cut_ && cut_->isReset && cut_->byte == written_) {
      wasCut_ = true;
      client_.Abort();
    } else {
      client_.Close();
    }
    co_return false;
  }
  co_return true;
}

} // namespace gypsum::tests

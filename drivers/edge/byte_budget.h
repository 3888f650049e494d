#pragma once

#include <cstddef>
#include <utility>

namespace gypsum {

/** Bounds the bytes that all users of a process hold together; used on one
 * event loop. */
class ByteBudget
{
public:
  explicit ByteBudget(std::size_t aBytes)
    : left_(aBytes)
  {
  }

  bool Take(std::size_t aBytes)
  {
    if (aBytes > left_) {
      return false;
    }
    left_ -= aBytes;
    return true;
  }
  void Return(std::size_t aBytes) { left_ += aBytes; }
  std::size_t Left() const { return left_; }

private:
  std::size_t left_;
};

/** Bytes taken from a budget, returned at the end. */
class ByteReservation
{
public:
  explicit ByteReservation(ByteBudget& aBudget)
    : budget_(&aBudget)
  {
  }
  ~ByteReservation() { budget_->Return(bytes_); }
  ByteReservation(const ByteReservation&) = delete;
  ByteReservation& operator=(const ByteReservation&) = delete;

  /** Takes more bytes, unless `aBytes` are reserved already; false if too few
   * are left. */
  bool Reserve(std::size_t aBytes)
  {
    if (aBytes <= bytes_) {
      return true;
    }
    if (!budget_->Take(aBytes - bytes_)) {
      return false;
    }
    bytes_ = aBytes;
    return true;
  }

private:
  ByteBudget* budget_;
  std::size_t bytes_ = 0;
};

} // namespace gypsum

#pragma once

#include <span>

namespace gypsum::bench {

/** A cost measured at one size. */
struct Sample
{
  double size = 0;
  double cost = 0;
};

/** Line `cost = base + slope * size`. */
struct LinearFit
{
  double base = 0;
  double slope = 0;
  double worstError = 0; ///< Largest relative error of a sample.

  double At(double aSize) const { return base + slope * aSize; }
};

/** Least-squares fit; needs at least two different sizes. */
LinearFit FitLine(std::span<const Sample> aSamples);

} // namespace gypsum::bench

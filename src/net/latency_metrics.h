// Quantiles of call latency since the start of the process, by Boost.Accumulators.
#pragma once

#include "core/clock_type.h"

// Boost's quantile header uses string streams without including them.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <cstddef>

namespace radishford {

// Estimates quantiles in constant memory.
class LatencyMetrics
{
public:
    // Quantiles on the metrics page.
    static constexpr std::array<double, 3> Quantiles{0.5, 0.99, 0.999};

    LatencyMetrics()
        : set_(boost::accumulators::extended_p_square_probabilities = Quantiles)
    {
    }

    // Adds the latency of one call.
    void add(Millis duration)
    {
        set_(duration.fractionalMillis());
    }

    // Number of calls added.
    [[nodiscard]] std::size_t count() const
    {
        return boost::accumulators::count(set_);
    }

    // Estimated quantile in milliseconds; zero before the first call. The probability must be one of Quantiles.
    [[nodiscard]] double quantile(double probability) const
    {
        return count() == 0 ? 0 : boost::accumulators::quantile(set_, boost::accumulators::quantile_probability = probability);
    }

    // Maximum latency in milliseconds; zero before the first call.
    [[nodiscard]] double maximum() const
    {
        return count() == 0 ? 0 : boost::accumulators::max(set_);
    }

private:
    using Statistics
        = boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::max, boost::accumulators::tag::extended_p_square_quantile>;

    boost::accumulators::accumulator_set<double, Statistics> set_;
};

} // namespace radishford

#pragma once

#include "basilpoint/Support/Clock.h"

#include <boost/histogram.hpp>
#include <string>
#include <unordered_map>

namespace basilpoint {

/// Distribution of the programs' pauses per tool, learned from ended pauses.
class PauseTimes {
public:
    /// Adds an ended pause.
    void add(const std::string& tool, Milliseconds pause);

    /// One histogram bin of a tool's pauses.
    struct Bin {
        /// Upper end of the bin.
        double seconds = 0;
        /// Probability that a pause falls into the bin.
        double share = 0;
    };

    /// Bins by increasing pause, with a uniform prior that dominates while there are few samples. Shares add up to 1.
    std::vector<Bin> distribution(const std::string& tool) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(Axis()));

    struct Tool {
        Tool();
        Histogram histogram;
        double samples = 0;
    };

    std::unordered_map<std::string, Tool> m_tools;
};

} // namespace basilpoint

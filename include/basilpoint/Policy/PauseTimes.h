#pragma once

#include "basilpoint/Support/Clock.h"

#include <boost/histogram.hpp>
#include <string>
#include <unordered_map>

namespace basilpoint {

/// How long programs pause for each tool, learned from the pauses that ended.
class PauseTimes {
public:
    void ended(const std::string& tool, Milliseconds pause);

    /// One part of the distribution of a tool's pauses.
    struct Part {
        /// Upper end of the part.
        double seconds = 0;
        double share = 0;
    };

    /// Pauses of the tool by rising length; a prior while little is known. Shares add up to 1.
    std::vector<Part> distribution(const std::string& tool) const;

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

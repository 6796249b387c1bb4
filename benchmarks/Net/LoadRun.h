#pragma once

#include "LatencyHistogram.h"

#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Support/Endpoint.h"

#include <boost/asio/io_context.hpp>
#include <string>

namespace basilpoint::bench {

struct LoadSettings {
    Endpoint address;
    /// Environment in which each stream opens a program; if empty, an engine is called directly.
    std::string environment;
    std::string model;
    unsigned streams = 1;
    /// Streamed calls that each stream makes, one after the other.
    unsigned callsPerStream = 1;
    unsigned tokensPerCall = 16;
    /// Time over which the starts of the streams are spread evenly, so that the streams do not run in lockstep.
    Milliseconds ramp { 1'000 };
};

struct LoadResult {
    LatencyHistogram firstToken;
    LatencyHistogram betweenTokens;
    std::uint64_t tokens = 0;
    std::uint64_t failures = 0;
    std::chrono::nanoseconds duration { 0 };
};

/// Opens the programs, then runs all streams concurrently. Returns when all have ended.
LoadResult runLoad(boost::asio::io_context&, const LoadSettings&);

} // namespace basilpoint::bench

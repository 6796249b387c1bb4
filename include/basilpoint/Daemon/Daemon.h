#pragma once

#include "basilpoint/Config/Settings.h"

#include <boost/asio/io_context.hpp>

namespace basilpoint {

/// Settings of basilpointd.
const std::vector<SettingSpec>& daemonSettings();

/// Runs a daemon until SIGTERM, SIGINT or an operator's drain request, then stops it once the requests in progress
/// have ended.
void runDaemon(boost::asio::io_context&, const SettingValues&);

} // namespace basilpoint

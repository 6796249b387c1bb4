#pragma once

#include "basilpoint/Config/Settings.h"

#include <boost/asio/io_context.hpp>

namespace basilpoint {

/// Settings of basilpointd.
const std::vector<SettingSpec>& daemonSettings();

/// Runs a daemon until SIGTERM or SIGINT, then stops it as planned: requests under way are finished.
void runDaemon(boost::asio::io_context&, const SettingValues&);

} // namespace basilpoint

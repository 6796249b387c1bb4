#pragma once

#include "basilpoint/Gateway/WireFormat.h"
#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Net/TransactionalStore.h"

#include <boost/asio/io_context.hpp>

namespace basilpoint {

/// Settings of a keeper.
struct KeeperSettings {
    std::string instance;
    DataCentreId dataCentre;
    /// Address that serves other daemons.
    Endpoint peers;
    /// Number of keepers' disks that may be lost at once.
    unsigned tolerated = 0;
    /// Folder on the instance's disk; empty if the instance has no disk.
    std::string dataFolder;
    /// Whether the deployment starts for the first time, so that an empty disk has not lost any entries.
    bool isFirstStart = false;
    /// Memory that the process may use.
    std::size_t memoryBytes = 64 * 1024 * 1024;
    /// File descriptor of the log.
    int logDescriptor = 1;
};

/// Runs a keeper until the process is signalled to stop. It groups the commits of the daemons that serve callers,
/// keeps their journal on its disk, and confirms requests to empty an instance.
void runKeeper(boost::asio::io_context&, const KeeperSettings&, const WireFormat&, HttpClient& peers, TransactionalStore&, const Clock&);

} // namespace basilpoint

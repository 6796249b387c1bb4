#pragma once

#include "basilpoint/Gateway/WireFormat.h"
#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Net/TransactionalStore.h"

#include <boost/asio/io_context.hpp>

namespace basilpoint {

/// What a keeper needs to know of its instance.
struct KeeperSettings {
    std::string instance;
    DataCentreId dataCentre;
    /// Where other daemons call.
    Endpoint peers;
    /// Disks of keepers that may be lost at once.
    unsigned tolerated = 0;
    /// Folder on the instance's disk; empty if it has none.
    std::string dataFolder;
    /// The deployment starts for the first time, so an empty disk has lost nothing.
    bool isFirstStart = false;
    /// Where log lines go.
    int logDescriptor = 1;
};

/// Life of a process beside a disk: groups the commits of the daemons that serve callers, and answers
/// requests to empty an instance.
void runKeeper(boost::asio::io_context&, const KeeperSettings&, const WireFormat&, HttpClient& peers, TransactionalStore&, const Clock&);

} // namespace basilpoint

#pragma once

#include "basilpoint/Gateway/WireFormat.h"
#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Net/TransactionalStore.h"

#include <boost/asio/io_context.hpp>

namespace basilpoint {

/// Settings of a gateway.
struct GatewaySettings {
    std::string instance;
    DataCentreId dataCentre;
    /// Address that serves callers.
    Endpoint callers;
    /// Address that serves readiness probes of the load balancer, and metrics.
    Endpoint readiness;
    /// Address that serves other daemons.
    Endpoint peers;
    /// Number of keepers' disks that may be lost at once.
    unsigned tolerated = 0;
    /// Whether the deployment starts for the first time.
    bool isFirstStart = false;
    /// Time from the stop signal until the process is killed.
    Milliseconds stopLimit { 8'000 };
    /// Memory that the process may use.
    std::size_t memoryBytes = 64 * 1024 * 1024;
    /// File descriptors that the process may use. Callers' connections take half of them at most.
    std::size_t maxDescriptors = 1'024;
    /// Whether calls to engines that take reservations wait in the gateway until there is room at one.
    bool reservesRoom = false;
    /// Bytes of the largest value that the store takes.
    std::size_t maxValueBytes = 1024 * 1024;
    /// File descriptor of the log.
    int logDescriptor = 1;
};

/// Called on each request to reload the settings. \returns a text to log.
using ReloadHook = std::function<std::string()>;

/// Runs a gateway until the process receives a stop signal and has drained.
void runGateway(boost::asio::io_context&, const GatewaySettings&, const WireFormat&, HttpClient& targets, TransactionalStore&, const Clock&, const ReloadHook&);

} // namespace basilpoint

#pragma once

#include "basilpoint/Gateway/WireFormat.h"
#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Net/TransactionalStore.h"

#include <boost/asio/io_context.hpp>

namespace basilpoint {

/// What a gateway needs to know of its instance.
struct GatewaySettings {
    std::string instance;
    DataCentreId dataCentre;
    /// Where callers come in.
    Endpoint callers;
    /// Where the balancer asks for readiness.
    Endpoint readiness;
    /// Where other daemons call.
    Endpoint peers;
    /// Disks of keepers that may be lost at once.
    unsigned tolerated = 0;
    /// The deployment starts for the first time.
    bool isFirstStart = false;
    /// Time from a request to stop to the forced end.
    Milliseconds stopLimit { 8'000 };
    /// Where log lines go.
    int logDescriptor = 1;
};

/// Called each time the instance is asked to read its settings again. \returns what to log of it.
using ReloadHook = std::function<std::string()>;

/// Serves callers until the process is asked to stop; the gateway's whole life.
void runGateway(boost::asio::io_context&, const GatewaySettings&, const WireFormat&, HttpClient& targets, TransactionalStore&, const Clock&, const ReloadHook&);

} // namespace basilpoint

#pragma once

#include "Forwarder.h"
#include "PeerServer.h"

namespace basilpoint {

/// Serves calls that other gateways hand to this one, since they cannot reach the calls' targets.
///
/// The gateway that received the call from its caller keeps what belongs to it: its history, budget, attempts and retries.
class RelayedCallController {
public:
    RelayedCallController(const ConfigurationHolder&, Forwarder&, const WireFormat&, DataCentreId, const Clock&, JsonLog&, Metrics&);

    void handle(const HttpRequest&, ResponseWriter&);

    /// Takes only calls whose deadlines are before \p end, when the process ends; those in progress continue.
    void drain(TimePoint end) { m_drainEnd = end; }
    std::size_t activeCalls() const { return m_activeCalls; }

private:
    struct Call;

    std::optional<std::string_view> reasonNotToTake(const Call&) const;
    void serve(Call&, ResponseWriter&);
    void addHeaders(const Call&, HttpHeaders&) const;
    void refuse(const Call&, const char* end, std::string_view reason, ResponseWriter&);

    const ConfigurationHolder& m_configuration;
    Forwarder& m_forwarder;
    const WireFormat& m_format;
    DataCentreId m_dataCentre;
    const Clock& m_clock;
    JsonLog& m_log;
    Metrics& m_metrics;
    std::size_t m_activeCalls = 0;
    std::optional<TimePoint> m_drainEnd;
};

} // namespace basilpoint

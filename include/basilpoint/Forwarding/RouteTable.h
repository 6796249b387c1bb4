#pragma once

#include "basilpoint/Forwarding/Configuration.h"

#include <map>
#include <memory>
#include <string_view>

namespace basilpoint {

/// Finds routes and services of one configuration version.
class RouteTable {
public:
    explicit RouteTable(ForwardingConfiguration);

    /// Route of \p host with the longest prefix that begins \p path; null if there is none.
    const ForwardingRoute* match(std::string_view host, std::string_view path) const;

    /// Service by name; null if the configuration does not name it.
    const ForwardingService* service(const ServiceId&) const;

    const ForwardingConfiguration& configuration() const { return m_configuration; }

private:
    ForwardingConfiguration m_configuration;
    /// Routes by host and prefix, as positions in the configuration.
    std::map<std::string, std::map<std::string, std::size_t, std::less<>>, std::less<>> m_routes;
};

/// The configuration in force. Its version never falls within the life of the holder.
class ConfigurationHolder {
public:
    /// Puts \p configuration in force if it is newer. \returns whether it was.
    bool offer(ForwardingConfiguration configuration);

    /// Null until the first offer. A call keeps the table that it began with.
    const std::shared_ptr<const RouteTable>& current() const { return m_current; }

private:
    std::shared_ptr<const RouteTable> m_current;
};

} // namespace basilpoint

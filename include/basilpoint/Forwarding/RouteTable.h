#pragma once

#include "basilpoint/Forwarding/OrganisationTable.h"

#include <map>
#include <memory>
#include <set>
#include <string_view>

namespace basilpoint {

/// Name of the host in a Host header, as routes have it: without a port, in lower case.
std::string canonicalHost(std::string_view header);

/// Looks up routes and services of one configuration version.
class RouteTable {
public:
    /// \throws InvalidInputError as validateOrganisations().
    explicit RouteTable(ForwardingConfiguration);

    /// Route of \p host with the longest prefix of \p path; null if there is none.
    const ForwardingRoute* match(std::string_view host, std::string_view path) const;

    /// Service by name; null if it is not in the configuration.
    const ForwardingService* service(const ServiceId&) const;

    /// Whether calls to the service reserve room at its engines and wait until there is some: the engines take reservations, and
    /// the configuration has organisations or a resumable route to the service.
    bool managesRoom(const ServiceId&) const;

    /// Whether callers are identified: the configuration has organisations.
    bool identifiesCallers() const { return m_configuration.organisations.has_value(); }

    /// Organisation that has the key; null if none has. Belongs to this table.
    const Organisation* organisationWith(std::string_view key) const;

    const ForwardingConfiguration& configuration() const { return m_configuration; }

private:
    ForwardingConfiguration m_configuration;
    /// Indices of routes in the configuration, by host and prefix.
    std::map<std::string, std::map<std::string, std::size_t, std::less<>>, std::less<>> m_routes;
    std::set<ServiceId> m_managedServices;
    OrganisationTable m_organisations;
};

/// Holds the active configuration. Its version never decreases.
class ConfigurationHolder {
public:
    /// Activates \p configuration if it is newer than the active one. \returns whether it was.
    /// \throws InvalidInputError if it is newer but invalid; the active one stays.
    bool offer(ForwardingConfiguration configuration);

    /// Table of the active configuration; null until the first offer(). Each call keeps the table with which it started.
    const std::shared_ptr<const RouteTable>& current() const { return m_current; }

private:
    std::shared_ptr<const RouteTable> m_current;
};

} // namespace basilpoint

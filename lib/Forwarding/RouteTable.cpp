#include "basilpoint/Forwarding/RouteTable.h"

#include <algorithm>
#include <cctype>
#include <random>

namespace basilpoint {

static bool isPort(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isdigit(c); });
}

std::string canonicalHost(std::string_view header)
{
    // An address in brackets has colons of its own.
    auto colon = header.rfind(':');
    std::string name(colon != std::string_view::npos && isPort(header.substr(colon + 1)) ? header.substr(0, colon) : header);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

static bool hasResumableRoute(const ForwardingConfiguration& configuration, const ServiceId& service)
{
    return std::any_of(configuration.routes.begin(), configuration.routes.end(), [&](const ForwardingRoute& route) {
        return route.isResumable && std::any_of(route.services.begin(), route.services.end(), [&](const ServiceShare& it) { return it.service == service; });
    });
}

static std::uint64_t randomSeed()
{
    std::random_device random;
    return (static_cast<std::uint64_t>(random()) << 32U) | random();
}

RouteTable::RouteTable(ForwardingConfiguration configuration)
    : m_configuration(std::move(configuration))
{
    for (std::size_t n = 0; n < m_configuration.routes.size(); ++n)
        m_routes[canonicalHost(m_configuration.routes[n].host)][m_configuration.routes[n].prefix] = n;
    if (m_configuration.organisations) {
        validateOrganisations(*m_configuration.organisations);
        m_organisations = OrganisationTable(*m_configuration.organisations, randomSeed());
    }
    for (const ForwardingService& it : m_configuration.services)
        if (it.engine && it.engine->maxReservation.count() > 0 && (m_configuration.organisations || hasResumableRoute(m_configuration, it.name)))
            m_managedServices.insert(it.name);
}

bool RouteTable::managesRoom(const ServiceId& name) const
{
    return m_managedServices.contains(name);
}

const ForwardingRoute* RouteTable::match(std::string_view host, std::string_view path) const
{
    auto routes = m_routes.find(host);
    if (routes == m_routes.end())
        return nullptr;
    for (auto end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/', end - 1)) {
        auto it = routes->second.find(path.substr(0, end + 1));
        if (it != routes->second.end())
            return &m_configuration.routes[it->second];
        if (end == 0)
            break;
    }
    return nullptr;
}

const ForwardingService* RouteTable::service(const ServiceId& name) const
{
    auto it = std::find_if(m_configuration.services.begin(), m_configuration.services.end(), [&](const auto& service) { return service.name == name; });
    return it == m_configuration.services.end() ? nullptr : &*it;
}

const Organisation* RouteTable::organisationWith(std::string_view key) const
{
    auto index = m_organisations.find(key);
    return index ? &(*m_configuration.organisations)[*index] : nullptr;
}

bool ConfigurationHolder::offer(ForwardingConfiguration configuration)
{
    if (m_current && configuration.version <= m_current->configuration().version)
        return false;
    m_current = std::make_shared<const RouteTable>(std::move(configuration));
    return true;
}

} // namespace basilpoint

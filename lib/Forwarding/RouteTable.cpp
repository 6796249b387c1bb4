#include "basilpoint/Forwarding/RouteTable.h"

#include <algorithm>

namespace basilpoint {

RouteTable::RouteTable(ForwardingConfiguration configuration)
    : m_configuration(std::move(configuration))
{
    for (std::size_t n = 0; n < m_configuration.routes.size(); ++n)
        m_routes[m_configuration.routes[n].host][m_configuration.routes[n].prefix] = n;
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

bool ConfigurationHolder::offer(ForwardingConfiguration configuration)
{
    if (m_current && configuration.version <= m_current->configuration().version)
        return false;
    m_current = std::make_shared<const RouteTable>(std::move(configuration));
    return true;
}

} // namespace basilpoint

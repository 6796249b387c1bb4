#include "basilpoint/Daemon/Filter.h"

namespace basilpoint {

FilterChain::FilterChain(std::vector<std::unique_ptr<Filter>> filters, Filter::Next terminal)
    : m_filters(std::move(filters))
    , m_terminal(std::move(terminal))
{
}

void FilterChain::handle(RequestContext& context) const
{
    handleFrom(0, context);
}

void FilterChain::handleFrom(std::size_t index, RequestContext& context) const
{
    if (index == m_filters.size())
        return m_terminal(context);
    m_filters[index]->handle(context, [this, index](RequestContext& next) { handleFrom(index + 1, next); });
}

} // namespace basilpoint

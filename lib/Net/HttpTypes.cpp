#include "basilpoint/Net/HttpTypes.h"

namespace basilpoint {

std::string_view HttpRequest::header(std::string_view name) const
{
    auto it = headers.find(name);
    return it == headers.end() ? std::string_view() : std::string_view(it->second);
}

std::string_view HttpRequest::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

} // namespace basilpoint

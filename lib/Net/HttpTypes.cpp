#include "basilpoint/Net/HttpTypes.h"

namespace basilpoint {

static std::string_view headerValue(const HttpHeaders& headers, std::string_view name)
{
    auto it = headers.find(name);
    return it == headers.end() ? std::string_view() : std::string_view(it->second);
}

std::string_view HttpRequest::header(std::string_view name) const
{
    return headerValue(headers, name);
}

std::string_view HttpResponse::header(std::string_view name) const
{
    return headerValue(headers, name);
}

std::string_view HttpRequest::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

} // namespace basilpoint

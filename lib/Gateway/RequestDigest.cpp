#include "RequestDigest.h"

#include <fmt/format.h>

namespace basilpoint {

namespace {

    /// Lists parts of a request. Lengths are included, so that no two lists have the same text.
    class RequestParts {
    public:
        void append(std::string_view part) { m_text.append(fmt::format("{}:{},", part.size(), part)); }

        /// The body of a kept turn is only its new input; the rest of what targets get is named by the turn that it continues.
        void appendPrevious(const CallAttributes& attributes, const ForwardingRoute& route)
        {
            if (route.keepsTurns() && !attributes.previousTurn.empty())
                append(attributes.previousTurn.text());
        }

        Digest digestWith(std::string_view body) const { return extendDigest(digestOf(m_text), body); }

    private:
        std::string m_text;
    };

} // namespace

Digest contentOf(const HttpRequest& request, const CallAttributes& attributes, const ForwardingRoute& route, const Organisation* organisation)
{
    RequestParts parts;
    std::string host = canonicalHost(request.header("host"));
    for (std::string_view part : { std::string_view(host), std::string_view(request.method), std::string_view(request.target), std::string_view(attributes.program.text()) })
        parts.append(part);
    if (organisation)
        parts.append(organisation->name);
    parts.appendPrevious(attributes, route);
    return parts.digestWith(request.body);
}

Digest repetitionOf(const HttpRequest& request, const CallAttributes& attributes, const ForwardingRoute& route, const Organisation* organisation)
{
    RequestParts parts;
    parts.append(request.target);
    parts.append(organisation ? std::string_view(organisation->name) : std::string_view());
    if (request.body.empty())
        parts.append(attributes.program.text());
    parts.appendPrevious(attributes, route);
    return parts.digestWith(request.body);
}

} // namespace basilpoint

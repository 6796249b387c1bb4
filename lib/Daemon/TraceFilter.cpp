#include "TraceFilter.h"

#include <fmt/format.h>

namespace basilpoint {

// 00-TRACE-SPAN-FLAGS, as in the W3C Trace Context recommendation.
static constexpr std::size_t traceParentLength = 55;
static constexpr std::size_t traceOffset = 3;
static constexpr std::size_t traceDigits = 32;
static constexpr std::size_t spanDigits = 16;

static bool isTraceParent(std::string_view text)
{
    if (text.size() != traceParentLength || !text.starts_with("00-"))
        return false;
    for (std::size_t n = 0; n < text.size(); ++n) {
        bool dash = n == 2 || n == traceOffset + traceDigits || n == traceOffset + traceDigits + 1 + spanDigits;
        bool digit = (text[n] >= '0' && text[n] <= '9') || (text[n] >= 'a' && text[n] <= 'f');
        if (dash ? text[n] != '-' : !digit)
            return false;
    }
    return true;
}

TraceFilter::TraceFilter(RandomEngine& random)
    : m_random(random)
{
}

void TraceFilter::handle(RequestContext& context, const Next& next)
{
    std::string_view callerTrace = context.request.header("traceparent");
    std::string trace = isTraceParent(callerTrace) ? std::string(callerTrace.substr(traceOffset, traceDigits)) : randomHex(m_random, traceDigits);
    context.traceParent = fmt::format("00-{}-{}-01", trace, randomHex(m_random, spanDigits));
    next(context);
}

} // namespace basilpoint

#include "OwnerFilter.h"

#include "ForwardedResponse.h"
#include "JsonBody.h"
#include "Operations.h"

#include "basilpoint/Net/Errors.h"

namespace basilpoint {

static constexpr Milliseconds ownershipChangeTimeout { 15'000 };
static constexpr Milliseconds retryDelay { 40 };
static constexpr Milliseconds ownerReadTimeout { 120'000 };
static constexpr auto forwardedHeader = "basilpoint-forwarded";
static constexpr auto movedCode = "shard-moved";

namespace {

    struct EraseOnExit {
        ~EraseOnExit() { forwards.erase(entry); }

        std::multimap<InstanceId, HttpCancellation*>& forwards;
        std::multimap<InstanceId, HttpCancellation*>::iterator entry;
    };

    // A request that is run here or forwarded until an owner of its shard has answered it.
    class RoutedRequest {
    public:
        RoutedRequest(RequestContext& context, HttpClient& client, DecisionLog& log)
            : m_context(context)
            , m_client(client)
            , m_log(log)
            , m_response(context.writer)
            , m_request(context.request)
        {
            m_request.headers[forwardedHeader] = "1";
            m_request.headers["traceparent"] = context.traceParent;
            for (const char* name : { "host", "connection", "content-length", "transfer-encoding" })
                m_request.headers.erase(name);
        }

        // Returns whether the request was answered; if not, it may be retried at another owner.
        bool forward(const ShardRoute& route, HttpCancellation& cancellation)
        {
            log(DecisionKind::Forwarded, route.owner.text());
            HttpCallOptions options;
            options.readTimeout = ownerReadTimeout;
            options.onHeader = [this](const HttpResponse& response) { m_response.onHeader(response); };
            HttpResponse response;
            try {
                response = m_client.stream(
                    route.callers, m_request, [this](std::string_view bytes) { m_response.onBytes(bytes); }, options, &cancellation);
            } catch (const TargetError& error) {
                return handleInterruption(error);
            }
            if (isShardMoved(response)) {
                log(DecisionKind::ForwardRetried, "moved");
                return false;
            }
            if (m_response.started() && response.status != 200) {
                // A started stream cannot become a problem document; it is closed without its last event.
                throw ConnectionLostError("answer could not be continued: status " + std::to_string(response.status));
            }
            m_response.finish(response);
            return true;
        }

        // Runs the request at this daemon. Returns whether it was answered.
        bool runLocally(const Filter::Next& next)
        {
            if (m_response.started())
                m_response.resume(m_context.request);
            try {
                next(m_context);
                return true;
            } catch (const ShardLostError& error) {
                if (m_context.writer.started())
                    throw;
                log(DecisionKind::ForwardRetried, "moved");
                return false;
            }
        }

        bool started() const { return m_response.started(); }

    private:
        bool handleInterruption(const TargetError& error)
        {
            log(DecisionKind::ForwardRetried, std::string(error.code()));
            if (m_response.closed()) {
                m_context.writer.end();
                return true;
            }
            if (m_response.started())
                m_response.resume(m_request);
            return false;
        }

        static bool isShardMoved(const HttpResponse& response)
        {
            static constexpr int statusUnavailable = 503;
            if (response.status != statusUnavailable)
                return false;
            nlohmann::json problem = nlohmann::json::parse(response.body, nullptr, false);
            return problem.is_object() && problem.value("title", "") == movedCode;
        }

        void log(DecisionKind kind, std::string subject)
        {
            if (const ProgramId* program = programOf(m_context.operation))
                m_log.record(*program, kind, std::move(subject));
        }

        RequestContext& m_context;
        HttpClient& m_client;
        DecisionLog& m_log;
        ForwardedResponse m_response;
        HttpRequest m_request;
    };

} // namespace

void OwnerFilter::cancelForwardsTo(const InstanceId& owner)
{
    auto [begin, end] = m_forwards.equal_range(owner);
    for (auto it = begin; it != end; ++it)
        it->second->cancel();
}

OwnerFilter::OwnerFilter(const Clock& clock, HttpClient& client, const ShardDirectory& directory, const ShardController& shards, DecisionLog& log)
    : m_clock(clock)
    , m_client(client)
    , m_directory(directory)
    , m_shards(shards)
    , m_log(log)
{
}

void OwnerFilter::handle(RequestContext& context, const Next& next)
{
    ShardId shard = shardOf(context.operation);
    bool forwarded = !context.request.header(forwardedHeader).empty();
    if (forwarded)
        return next(context);
    RoutedRequest routed(context, m_client, m_log);
    TimePoint deadline = m_clock.now() + ownershipChangeTimeout;
    while (m_clock.now() < deadline) {
        auto route = m_directory.route(shard);
        if (m_shards.owns(shard) && routed.runLocally(next))
            return;
        if (route && !route->local) {
            HttpCancellation cancellation;
            EraseOnExit eraseOnExit { m_forwards, m_forwards.emplace(route->owner, &cancellation) };
            if (routed.forward(*route, cancellation))
                return;
        }
        sleepFiber(retryDelay);
    }
    if (routed.started())
        throw ConnectionLostError("no owner continues the answer");
    throw ShardLostError(shard);
}

} // namespace basilpoint

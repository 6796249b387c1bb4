#include "OwnerFilter.h"

#include "ForwardedResponse.h"
#include "JsonBody.h"
#include "Operations.h"

#include "basilpoint/Net/Errors.h"

namespace basilpoint {

static constexpr Milliseconds moveTimeout { 15'000 };
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

    // One request on its way to whichever daemon owns its shard.
    class Passage {
    public:
        Passage(RequestContext& context, HttpClient& client, DecisionLog& log)
            : m_context(context)
            , m_client(client)
            , m_log(log)
            , m_answer(context.writer)
            , m_request(context.request)
        {
            m_request.headers[forwardedHeader] = "1";
            m_request.headers["traceparent"] = context.traceParent;
            for (const char* name : { "host", "connection", "content-length", "transfer-encoding" })
                m_request.headers.erase(name);
        }

        // Returns whether the request was answered; if not, another owner may be tried.
        bool forward(const ShardRoute& route, HttpCancellation& cancellation)
        {
            log(DecisionKind::Forwarded, route.owner.text());
            HttpCallOptions options;
            options.readTimeout = ownerReadTimeout;
            options.onHeader = [this](const HttpResponse& response) { m_answer.onHeader(response); };
            HttpResponse response;
            try {
                response = m_client.stream(
                    route.callers, m_request, [this](std::string_view bytes) { m_answer.onBytes(bytes); }, options, &cancellation);
            } catch (const TargetError& error) {
                return interrupted(error);
            }
            if (isMoved(response)) {
                log(DecisionKind::ForwardRetried, "moved");
                return false;
            }
            if (m_answer.started() && response.status != 200) {
                // The stream cannot turn into a problem document any more; it ends without its last event.
                throw ConnectionLostError("answer could not be continued: status " + std::to_string(response.status));
            }
            m_answer.finish(response);
            return true;
        }

        // Runs the request here. Returns whether it was answered.
        bool runLocally(const Filter::Next& next)
        {
            if (m_answer.started())
                m_answer.resume(m_context.request);
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

        bool started() const { return m_answer.started(); }

    private:
        bool interrupted(const TargetError& error)
        {
            log(DecisionKind::ForwardRetried, std::string(error.code()));
            if (m_answer.closed()) {
                m_context.writer.end();
                return true;
            }
            if (m_answer.started())
                m_answer.resume(m_request);
            return false;
        }

        static bool isMoved(const HttpResponse& response)
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
        ForwardedAnswer m_answer;
        HttpRequest m_request;
    };

} // namespace

void OwnerFilter::ownerLost(const InstanceId& owner)
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
    Passage passage(context, m_client, m_log);
    TimePoint giveUp = m_clock.now() + moveTimeout;
    while (m_clock.now() < giveUp) {
        auto route = m_directory.route(shard);
        if (m_shards.owns(shard) && passage.runLocally(next))
            return;
        if (route && !route->local) {
            HttpCancellation cancellation;
            EraseOnExit eraseOnExit { m_forwards, m_forwards.emplace(route->owner, &cancellation) };
            if (passage.forward(*route, cancellation))
                return;
        }
        sleepFiber(retryDelay);
    }
    if (passage.started())
        throw ConnectionLostError("no owner continues the answer");
    throw ShardLostError(shard);
}

} // namespace basilpoint

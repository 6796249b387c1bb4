#include "RelayedCallController.h"

#include "RelayedCall.h"

#include "basilpoint/Net/Errors.h"

#include <fmt/format.h>

namespace basilpoint {

static constexpr int statusRefused = 503;

/// Owns what the call in progress refers to.
struct RelayedCallController::Call {
    Call(RelayedCall relayed, CallAttributes attributes, const std::shared_ptr<const RouteTable>& table, TimePoint now)
        : message(std::move(relayed))
        , call { message.request, std::move(attributes), table, message.route, now, now + message.timeLeft }
    {
        call.query = message.query;
        call.content = message.content;
        call.repetition = message.repetition;
        call.isRelayed = true;
        if (message.organisation)
            call.organisation = std::make_shared<const Organisation>(*message.organisation);
    }
    Call(const Call&) = delete;
    Call& operator=(const Call&) = delete;

    RelayedCall message;
    ForwardedCall call;
};

namespace {

    /// Adds the headers of the relay to the target's answer.
    class RelayWriter final : public ResponseWriter {
    public:
        using AddHeaders = std::function<void(HttpHeaders&)>;

        RelayWriter(ResponseWriter& writer, AddHeaders addHeaders)
            : m_writer(writer)
            , m_addHeaders(std::move(addHeaders))
        {
        }

        void send(const HttpResponse& response) override { m_writer.send({ response.status, complete(response.headers), response.body }); }
        void begin(int status, const HttpHeaders& headers) override { m_writer.begin(status, complete(headers)); }
        void write(std::string_view chunk) override { m_writer.write(chunk); }
        void end() override { m_writer.end(); }
        bool started() const override { return m_writer.started(); }

    private:
        HttpHeaders complete(HttpHeaders headers) const
        {
            m_addHeaders(headers);
            return headers;
        }

        ResponseWriter& m_writer;
        AddHeaders m_addHeaders;
    };

    struct ActiveCall {
        explicit ActiveCall(std::size_t& n)
            : count(n)
        {
            ++count;
        }
        ActiveCall(const ActiveCall&) = delete;
        ActiveCall& operator=(const ActiveCall&) = delete;
        ~ActiveCall() { --count; }

        std::size_t& count;
    };

} // namespace

RelayedCallController::RelayedCallController(const ConfigurationHolder& configuration, Forwarder& forwarder, const WireFormat& format, DataCentreId dataCentre, const Clock& clock, JsonLog& log, Metrics& metrics)
    : m_configuration(configuration)
    , m_forwarder(forwarder)
    , m_format(format)
    , m_dataCentre(std::move(dataCentre))
    , m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
{
}

std::optional<std::string_view> RelayedCallController::reasonNotToTake(const Call& call) const
{
    if (m_drainEnd && call.call.deadline > *m_drainEnd)
        return "shutting down before the call's deadline";
    if (!call.call.table)
        return "no configuration yet";
    if (!m_forwarder.hasPath(call.call))
        return "no target within reach";
    return std::nullopt;
}

void RelayedCallController::handle(const HttpRequest& request, ResponseWriter& writer)
{
    RelayedCall message = decodeRelayedCall(request.body);
    CallAttributes attributes = m_format.readCall(message.request);
    // Shared, since the server may call the disconnect handler after this function has returned.
    auto call = std::make_shared<Call>(std::move(message), std::move(attributes), m_configuration.current(), m_clock.now() - request.readFor);
    call->call.query.dataCentre = m_dataCentre;
    if (auto reason = reasonNotToTake(*call))
        return refuse(*call, relayends::notTaken, *reason, writer);
    ActiveCall active(m_activeCalls);
    writer.notifyOnDisconnect([call] { call->call.callerLeft(); });
    serve(*call, writer);
}

void RelayedCallController::serve(Call& call, ResponseWriter& writer)
{
    RelayWriter relayWriter(writer, [&](HttpHeaders& headers) { addHeaders(call, headers); });
    switch (m_forwarder.forward(call.call, relayWriter, {})) {
    case ForwardEnd::Delivered:
        m_metrics.count("relayed_calls_total{end=\"delivered\"}");
        return;
    case ForwardEnd::NotRun:
        return refuse(call, call.call.isRefusedByTarget || call.call.noRoom ? relayends::notRun : relayends::notTaken, "no target took the call", writer);
    case ForwardEnd::MayHaveRun:
        return refuse(call, relayends::mayHaveRun, "no answer", writer);
    case ForwardEnd::BrokenOff:
        m_metrics.count("relayed_calls_total{end=\"broken-off\"}");
        throw ConnectionLostError("stream broke off");
    }
    assert(false && "unhandled enumerator");
}

void RelayedCallController::addHeaders(const Call& call, HttpHeaders& headers) const
{
    if (!call.call.lastTarget.empty())
        headers[relayheaders::target] = call.call.lastTarget;
    if (call.call.endsWithConnection)
        headers[relayheaders::endsWithConnection] = "1";
    if (call.call.targetConnectedAt != TimePoint::max())
        headers[relayheaders::connectedFor] = std::to_string(std::chrono::duration_cast<Milliseconds>(m_clock.now() - call.call.targetConnectedAt).count());
    if (m_drainEnd)
        headers[relayheaders::leaving] = "1";
    if (call.call.noRoom) {
        headers[relayheaders::noRoom] = toString(call.call.noRoom->refusal);
        headers[relayheaders::retryAfter] = std::to_string(call.call.noRoom->retryAfter.count());
    }
}

void RelayedCallController::refuse(const Call& call, const char* end, std::string_view reason, ResponseWriter& writer)
{
    m_metrics.count(fmt::format("relayed_calls_total{{end=\"{}\"}}", end));
    m_log.write(LogLine("relayed-call-refused").field("request", call.call.attributes.call.text()).field("end", end).field("reason", reason));
    HttpHeaders headers { { relayheaders::end, end } };
    addHeaders(call, headers);
    writer.send({ statusRefused, std::move(headers), std::string(reason) });
}

} // namespace basilpoint

#include "KeyValueState.h"
#include "StandIn.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Support/Base64.h"

#include <nlohmann/json.hpp>

namespace basilpoint::standin {

using Json = nlohmann::json;

static constexpr Milliseconds watchPollInterval { 20 };
static constexpr Milliseconds watchProgressInterval { 5'000 };

namespace {

    struct Service {
        boost::asio::io_context& io;
        const Clock& clock;
        KeyValueState state;
        /// While set, every call fails at once.
        bool down = false;
        /// Writes from now on take effect and their answers are lost.
        unsigned loseAnswers = 0;
        Milliseconds delay { 0 };
        std::map<std::string, std::uint64_t> calls;
    };

} // namespace

static std::int64_t numberIn(const Json& json, const char* name)
{
    auto it = json.find(name);
    if (it == json.end())
        return 0;
    return it->is_string() ? std::stoll(it->get<std::string>()) : it->get<std::int64_t>();
}

static std::string bytesIn(const Json& json, const char* name)
{
    return json.contains(name) ? decodeBase64(json[name].get<std::string>()) : std::string();
}

static Json pairToJson(const std::string& key, const StoredValue& value)
{
    return { { "key", encodeBase64(key) }, { "value", encodeBase64(value.value) }, { "create_revision", std::to_string(value.createRevision) }, { "mod_revision", std::to_string(value.modRevision) }, { "version", std::to_string(value.version) }, { "lease", std::to_string(value.lease) } };
}

static Json headerOf(const Service& service)
{
    return { { "revision", std::to_string(service.state.revision()) } };
}

static Json range(Service& service, const Json& request)
{
    Json pairs = Json::array();
    for (const auto& [key, value] : service.state.range(bytesIn(request, "key"), bytesIn(request, "range_end")))
        pairs.push_back(pairToJson(key, value));
    auto count = pairs.size();
    return { { "header", headerOf(service) }, { "kvs", std::move(pairs) }, { "count", std::to_string(count) } };
}

static Json put(Service& service, const Json& request)
{
    if (!service.state.put(bytesIn(request, "key"), bytesIn(request, "value"), numberIn(request, "lease")))
        throw InvalidInputError("lease", request.value("lease", ""), "a lease that is alive");
    return { { "header", headerOf(service) } };
}

static Json removeKeys(Service& service, const Json& request)
{
    auto n = service.state.remove(bytesIn(request, "key"), bytesIn(request, "range_end"));
    return { { "header", headerOf(service) }, { "deleted", std::to_string(n) } };
}

static bool holds(const Service& service, const Json& compare)
{
    const StoredValue* stored = service.state.find(bytesIn(compare, "key"));
    std::string target = compare.value("target", "MOD");
    if (target == "VALUE")
        return stored && stored->value == bytesIn(compare, "value");
    std::int64_t actual = 0;
    if (stored)
        actual = target == "CREATE" ? stored->createRevision : target == "VERSION" ? stored->version
                                                                                   : stored->modRevision;
    const char* name = target == "CREATE" ? "create_revision" : target == "VERSION" ? "version"
                                                                                    : "mod_revision";
    return actual == numberIn(compare, name);
}

static Json runOperation(Service& service, const Json& operation)
{
    if (operation.contains("request_put"))
        return { { "response_put", put(service, operation["request_put"]) } };
    if (operation.contains("request_range"))
        return { { "response_range", range(service, operation["request_range"]) } };
    if (operation.contains("request_delete_range"))
        return { { "response_delete_range", removeKeys(service, operation["request_delete_range"]) } };
    throw InvalidInputError("operation", operation.dump(), "put, range or delete_range");
}

static Json transaction(Service& service, const Json& request)
{
    bool succeeded = true;
    for (const Json& compare : request.value("compare", Json::array()))
        succeeded = succeeded && holds(service, compare);
    Json responses = Json::array();
    for (const Json& operation : request.value(succeeded ? "success" : "failure", Json::array()))
        responses.push_back(runOperation(service, operation));
    return { { "header", headerOf(service) }, { "succeeded", succeeded }, { "responses", std::move(responses) } };
}

static Json keepAlive(Service& service, const Json& request)
{
    auto ttl = service.state.keepAlive(numberIn(request, "ID"), service.clock.now());
    return { { "result", { { "ID", request["ID"] }, { "TTL", std::to_string(ttl.count()) } } } };
}

static Json eventToJson(const ChangeEvent& event)
{
    if (event.value)
        return { { "kv", pairToJson(event.key, *event.value) } };
    return { { "type", "DELETE" }, { "kv", { { "key", encodeBase64(event.key) }, { "mod_revision", std::to_string(event.revision) } } } };
}

// One watch per request: the gateway streams newline-separated results.
static void watch(Service& service, const Json& request, ResponseWriter& writer)
{
    const Json& create = request.at("create_request");
    std::string begin = bytesIn(create, "key");
    std::string end = bytesIn(create, "range_end");
    std::int64_t start = numberIn(create, "start_revision");
    std::int64_t seen = start > 0 ? start - 1 : service.state.revision();
    writer.begin(200, { { "content-type", "application/json" } });
    writer.write(Json { { "result", { { "header", headerOf(service) }, { "created", true } } } }.dump() + "\n");
    TimePoint lastWrite = service.clock.now();
    while (!service.down) {
        auto changes = service.state.changesAfter(seen, begin, end);
        seen = service.state.revision();
        Json events = Json::array();
        for (const ChangeEvent& event : changes)
            events.push_back(eventToJson(event));
        if (!events.empty() || service.clock.now() - lastWrite > watchProgressInterval) {
            writer.write(Json { { "result", { { "header", headerOf(service) }, { "events", std::move(events) } } } }.dump() + "\n");
            lastWrite = service.clock.now();
        }
        sleepFor(service.io, watchPollInterval);
    }
    // An outage breaks the stream without its end.
}

static void setFault(Service& service, const Json& request)
{
    service.down = request.value("down", service.down);
    service.loseAnswers = request.value("loseAnswers", service.loseAnswers);
    service.delay = Milliseconds(request.value("delayMilliseconds", service.delay.count()));
}

static Json dispatch(Service& service, std::string_view path, const Json& request)
{
    if (path == "/v3/kv/range")
        return range(service, request);
    if (path == "/v3/kv/put")
        return put(service, request);
    if (path == "/v3/kv/deleterange")
        return removeKeys(service, request);
    if (path == "/v3/kv/txn")
        return transaction(service, request);
    if (path == "/v3/lease/grant")
        return { { "ID", std::to_string(service.state.grantLease(std::chrono::seconds(numberIn(request, "TTL")), service.clock.now())) }, { "TTL", request["TTL"] } };
    if (path == "/v3/lease/keepalive")
        return keepAlive(service, request);
    if (path == "/v3/lease/revoke") {
        service.state.revokeLease(numberIn(request, "ID"));
        return { { "header", headerOf(service) } };
    }
    throw RouteNotFoundError("POST", std::string(path));
}

static void handle(Service& service, const HttpRequest& request, ResponseWriter& writer)
{
    std::string_view path = request.path();
    if (path == "/standin/calls")
        return writer.send({ 200, { { "content-type", "application/json" } }, Json(service.calls).dump() });
    Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object())
        throw InvalidInputError("body", request.body.substr(0, 80), "a JSON object");
    if (path == "/standin/fault") {
        setFault(service, body);
        return writer.send({ 200, {}, "{}" });
    }
    if (service.down)
        throw ConnectionLostError("outage");
    ++service.calls[std::string(path)];
    if (service.delay.count() > 0)
        sleepFor(service.io, service.delay);
    service.state.expire(service.clock.now());
    if (path == "/v3/watch")
        return watch(service, body, writer);
    Json answer = dispatch(service, path, body);
    if (path == "/v3/kv/txn" && service.loseAnswers > 0) {
        --service.loseAnswers;
        throw ConnectionLostError("answer lost after the write took effect");
    }
    writer.send({ 200, { { "content-type", "application/json" } }, answer.dump() });
}

HttpServer::Handler makeKeyValue(boost::asio::io_context& io, const Clock& clock)
{
    auto service = std::make_shared<Service>(Service { io, clock, {}, false, 0, Milliseconds(0), {} });
    return [service](const HttpRequest& request, ResponseWriter& writer) {
        try {
            handle(*service, request, writer);
        } catch (const Json::exception& error) {
            throw InvalidInputError("body", error.what(), "a request of the v3 gateway");
        }
    };
}

} // namespace basilpoint::standin

#include "KeyValueState.h"
#include "StandIn.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Support/Base64.h"
#include "basilpoint/Support/ParseNumber.h"

#include <nlohmann/json.hpp>

namespace basilpoint::standin {

using Json = nlohmann::json;

static constexpr std::size_t maxExcerptLength = 80;
static constexpr std::size_t maxEntryBytes = 1024 * 1024;
static constexpr std::size_t maxOperations = 128;
static constexpr std::int64_t maxLeaseSeconds = 24 * 3'600;
static constexpr Milliseconds watchPollInterval { 20 };
static constexpr Milliseconds watchProgressInterval { 5'000 };

namespace {

    struct Service {
        boost::asio::io_context& io;
        const Clock& clock;
        KeyValueState state;
        /// While set, every call fails immediately.
        bool isDown = false;
        /// Number of following transactions that take effect but whose answers are dropped.
        unsigned answersToLose = 0;
        Milliseconds delay { 0 };
        std::map<std::string, std::uint64_t> calls;
    };

} // namespace

// The gateway encodes 64-bit integers as strings; JSON numbers are accepted too. A missing field is 0.
static std::int64_t integerField(const Json& json, const char* name)
{
    auto it = json.find(name);
    if (it == json.end())
        return 0;
    if (!it->is_string())
        return it->get<std::int64_t>();
    const auto& text = it->get_ref<const std::string&>();
    auto n = parseNumber<std::int64_t>(text);
    if (!n)
        throw InvalidInputError(name, text.substr(0, maxExcerptLength), "a whole number");
    return *n;
}

static std::string bytesField(const Json& json, const char* name)
{
    return json.contains(name) ? decodeBase64(json[name].get<std::string>()) : std::string();
}

static Json pairToJson(const std::string& key, const StoredValue& value)
{
    return { { "key", encodeBase64(key) }, { "value", encodeBase64(value.value) }, { "create_revision", std::to_string(value.createRevision) }, { "mod_revision", std::to_string(value.modRevision) }, { "version", std::to_string(value.version) }, { "lease", std::to_string(value.lease) } };
}

static Json responseHeader(const Service& service)
{
    return { { "revision", std::to_string(service.state.revision()) } };
}

static Json range(Service& service, const Json& request)
{
    Json pairs = Json::array();
    for (const auto& [key, value] : service.state.range(bytesField(request, "key"), bytesField(request, "range_end")))
        pairs.push_back(pairToJson(key, value));
    auto count = pairs.size();
    return { { "header", responseHeader(service) }, { "kvs", std::move(pairs) }, { "count", std::to_string(count) } };
}

static Json put(Service& service, const Json& request)
{
    std::string key = bytesField(request, "key");
    std::string value = bytesField(request, "value");
    if (key.empty() || key.size() + value.size() > maxEntryBytes)
        throw InvalidInputError("value", std::to_string(key.size() + value.size()) + " bytes", "a key, with its value at most 1 MiB");
    if (!service.state.hasCapacityFor(key.size() + value.size()))
        throw InvalidInputError("value", std::to_string(value.size()) + " bytes", "what fits into the memory that is left");
    std::int64_t lease = integerField(request, "lease");
    if (!service.state.put(key, value, lease))
        throw InvalidInputError("lease", std::to_string(lease), "a lease that is alive");
    return { { "header", responseHeader(service) } };
}

static Json removeKeys(Service& service, const Json& request)
{
    auto n = service.state.remove(bytesField(request, "key"), bytesField(request, "range_end"));
    return { { "header", responseHeader(service) }, { "deleted", std::to_string(n) } };
}

static bool matchesCompare(const Service& service, const Json& compare)
{
    const StoredValue* stored = service.state.find(bytesField(compare, "key"));
    std::string target = compare.value("target", "MOD");
    if (target == "VALUE")
        return stored && stored->value == bytesField(compare, "value");
    std::int64_t actual = 0;
    if (stored)
        actual = target == "CREATE" ? stored->createRevision : target == "VERSION" ? stored->version
                                                                                   : stored->modRevision;
    const char* name = target == "CREATE" ? "create_revision" : target == "VERSION" ? "version"
                                                                                    : "mod_revision";
    return actual == integerField(compare, name);
}

static Json runOperation(Service& service, const Json& operation)
{
    if (operation.contains("request_put"))
        return { { "response_put", put(service, operation["request_put"]) } };
    if (operation.contains("request_range"))
        return { { "response_range", range(service, operation["request_range"]) } };
    if (operation.contains("request_delete_range"))
        return { { "response_delete_range", removeKeys(service, operation["request_delete_range"]) } };
    throw InvalidInputError("operation", operation.dump(-1, ' ', true, Json::error_handler_t::replace).substr(0, maxExcerptLength), "put, range or delete_range");
}

static Json transaction(Service& service, const Json& request)
{
    if (request.value("success", Json::array()).size() + request.value("failure", Json::array()).size() > maxOperations)
        throw InvalidInputError("transaction", "operations", "at most 128 operations");
    bool succeeded = true;
    for (const Json& compare : request.value("compare", Json::array()))
        succeeded = succeeded && matchesCompare(service, compare);
    Json responses = Json::array();
    for (const Json& operation : request.value(succeeded ? "success" : "failure", Json::array()))
        responses.push_back(runOperation(service, operation));
    return { { "header", responseHeader(service) }, { "succeeded", succeeded }, { "responses", std::move(responses) } };
}

static Json grantLease(Service& service, const Json& request)
{
    std::int64_t seconds = integerField(request, "TTL");
    if (seconds < 1 || seconds > maxLeaseSeconds)
        throw InvalidInputError("TTL", std::to_string(seconds), "1 to 86400");
    std::int64_t id = service.state.grantLease(std::chrono::seconds(seconds), service.clock.now());
    return { { "ID", std::to_string(id) }, { "TTL", std::to_string(seconds) } };
}

static Json keepAlive(Service& service, const Json& request)
{
    auto ttl = service.state.keepAlive(integerField(request, "ID"), service.clock.now());
    return { { "result", { { "ID", request.at("ID") }, { "TTL", std::to_string(ttl.count()) } } } };
}

static Json eventToJson(const ChangeEvent& event)
{
    if (event.value)
        return { { "kv", pairToJson(event.key, *event.value) } };
    return { { "type", "DELETE" }, { "kv", { { "key", encodeBase64(event.key) }, { "mod_revision", std::to_string(event.revision) } } } };
}

// Ends a watch that asked for changes which the change log no longer holds; the watcher has to read the
// keys again.
static void cancelCompactedWatch(const Service& service, ResponseWriter& writer)
{
    Json cancellation { { "header", responseHeader(service) }, { "canceled", true }, { "compact_revision", std::to_string(service.state.compactedRevision() + 1) } };
    writer.write(Json { { "result", cancellation } }.dump() + "\n");
    writer.end();
}

// Serves one watch per request, as a stream of newline-separated results.
static void watch(Service& service, const Json& request, ResponseWriter& writer)
{
    const Json& create = request.at("create_request");
    std::string begin = bytesField(create, "key");
    std::string end = bytesField(create, "range_end");
    std::int64_t start = integerField(create, "start_revision");
    std::int64_t sentRevision = start > 0 ? start - 1 : service.state.revision();
    writer.begin(200, { { "content-type", "application/json" } });
    writer.write(Json { { "result", { { "header", responseHeader(service) }, { "created", true } } } }.dump() + "\n");
    TimePoint lastWrite = service.clock.now();
    while (!service.isDown) {
        if (sentRevision < service.state.compactedRevision())
            return cancelCompactedWatch(service, writer);
        auto changes = service.state.changesAfter(sentRevision, begin, end);
        sentRevision = service.state.revision();
        Json events = Json::array();
        for (const ChangeEvent& event : changes)
            events.push_back(eventToJson(event));
        if (!events.empty() || service.clock.now() - lastWrite > watchProgressInterval) {
            writer.write(Json { { "result", { { "header", responseHeader(service) }, { "events", std::move(events) } } } }.dump() + "\n");
            lastWrite = service.clock.now();
        }
        sleepFor(service.io, watchPollInterval);
    }
    // During an outage the stream breaks off without writer.end().
}

static void setFaults(Service& service, const Json& request)
{
    service.isDown = request.value("down", service.isDown);
    service.answersToLose = request.value("loseAnswers", service.answersToLose);
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
        return grantLease(service, request);
    if (path == "/v3/lease/keepalive")
        return keepAlive(service, request);
    if (path == "/v3/lease/revoke") {
        service.state.revokeLease(integerField(request, "ID"));
        return { { "header", responseHeader(service) } };
    }
    throw RouteNotFoundError("POST", std::string(path));
}

static void handle(Service& service, const HttpRequest& request, ResponseWriter& writer)
{
    std::string_view path = request.path();
    if (path == "/standin/calls")
        return writer.send({ 200, { { "content-type", "application/json" } }, Json(service.calls).dump() });
    Json body = parseJsonObject(request.body);
    if (path == "/standin/fault") {
        setFaults(service, body);
        return writer.send({ 200, {}, "{}" });
    }
    if (service.isDown)
        throw ConnectionLostError("outage");
    ++service.calls[std::string(path)];
    if (service.delay.count() > 0)
        sleepFor(service.io, service.delay);
    service.state.expire(service.clock.now());
    if (path == "/v3/watch")
        return watch(service, body, writer);
    Json answer = dispatch(service, path, body);
    if (path == "/v3/kv/txn" && service.answersToLose > 0) {
        --service.answersToLose;
        throw ConnectionLostError("answer lost after the write took effect");
    }
    writer.send({ 200, { { "content-type", "application/json" } }, answer.dump() });
}

HttpServer::Handler makeKeyValue(boost::asio::io_context& io, const Clock& clock)
{
    auto service = std::make_shared<Service>(Service { io, clock, {}, false, 0, Milliseconds(0), {} });
    return withTypedErrors([service](const HttpRequest& request, ResponseWriter& writer) { handle(*service, request, writer); });
}

} // namespace basilpoint::standin

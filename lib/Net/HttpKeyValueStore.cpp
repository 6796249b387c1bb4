#include "basilpoint/Net/HttpKeyValueStore.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/KeyValueResponse.h"
#include "basilpoint/Support/Base64.h"
#include "basilpoint/Support/ParseNumber.h"

namespace basilpoint {

using Json = nlohmann::json;

static constexpr Milliseconds connectTimeout { 500 };
static constexpr Milliseconds responseTimeout { 2'000 };
// Longer than the interval at which the service sends progress notifications.
static constexpr Milliseconds watchReadTimeout { 30'000 };

KeyValueUnavailableError::KeyValueUnavailableError(const std::string& reason, Executed executed)
    : KeyValueUnavailableError({ "key-value-unavailable", 503, executed }, reason)
{
}

KeyValueUnavailableError::KeyValueUnavailableError(ErrorKind kind, const std::string& reason)
    : Error(kind, { { "reason", reason } })
{
}

KeyValueRejectedError::KeyValueRejectedError(const std::string& reason)
    : KeyValueUnavailableError({ errorCode, 503, Executed::No }, reason)
{
}

// The JSON gateway encodes 64-bit numbers as strings.
static std::int64_t readInt64(const Json& json, const char* name)
{
    auto it = json.find(name);
    if (it == json.end())
        return 0;
    if (!it->is_string())
        return it->get<std::int64_t>();
    auto n = parseNumber<std::int64_t>(it->get_ref<const std::string&>());
    if (!n)
        throw KeyValueUnavailableError("answer holds a number that is none");
    return *n;
}

static KeyValue readKeyValue(const Json& json)
{
    return { decodeBase64(json.at("key").get<std::string>()), decodeBase64(json.value("value", "")), readInt64(json, "mod_revision") };
}

static std::string prefixRangeEnd(std::string prefix)
{
    assert(!prefix.empty() && "prefix must not be empty");
    ++prefix.back();
    return prefix;
}

HttpKeyValueStore::HttpKeyValueStore(HttpClient& client, Endpoint endpoint)
    : m_client(client)
    , m_endpoint(std::move(endpoint))
{
}

Json HttpKeyValueStore::post(const std::string& path, const Json& body)
{
    HttpCallOptions options;
    options.connectTimeout = connectTimeout;
    options.readTimeout = responseTimeout;
    try {
        HttpResponse response = m_client.call(m_endpoint, { "POST", path, { { "content-type", "application/json" } }, body.dump() }, options);
        if (response.status != 200)
            throw KeyValueUnavailableError("status " + std::to_string(response.status));
        return Json::parse(response.body);
    } catch (const TargetError& error) {
        ++m_counters.failures;
        throw KeyValueUnavailableError(error.what());
    } catch (const Json::exception&) {
        ++m_counters.failures;
        throw KeyValueUnavailableError("answer is not JSON");
    }
}

std::optional<KeyValue> HttpKeyValueStore::get(const std::string& key)
{
    ++m_counters.reads;
    Json answer = post("/v3/kv/range", { { "key", encodeBase64(key) } });
    return parseKeyValueResponse([&]() -> std::optional<KeyValue> {
        if (!answer.contains("kvs") || answer["kvs"].empty())
            return std::nullopt;
        return readKeyValue(answer["kvs"].at(0));
    });
}

std::vector<KeyValue> HttpKeyValueStore::list(const std::string& prefix)
{
    ++m_counters.reads;
    Json answer = post("/v3/kv/range", { { "key", encodeBase64(prefix) }, { "range_end", encodeBase64(prefixRangeEnd(prefix)) } });
    return parseKeyValueResponse([&] {
        std::vector<KeyValue> result;
        for (const Json& pair : answer.value("kvs", Json::array()))
            result.push_back(readKeyValue(pair));
        return result;
    });
}

std::optional<std::int64_t> HttpKeyValueStore::compareAndSwap(const std::string& key, std::int64_t expectedRevision, const std::string& value, std::int64_t lease)
{
    ++m_counters.writes;
    Json compare { { "key", encodeBase64(key) }, { "target", "MOD" }, { "result", "EQUAL" }, { "mod_revision", std::to_string(expectedRevision) } };
    Json put { { "key", encodeBase64(key) }, { "value", encodeBase64(value) }, { "lease", std::to_string(lease) } };
    Json answer = post("/v3/kv/txn", { { "compare", Json::array({ compare }) }, { "success", Json::array({ { { "request_put", put } } }) } });
    return parseKeyValueResponse([&]() -> std::optional<std::int64_t> {
        if (!answer.value("succeeded", false))
            return std::nullopt;
        return readInt64(answer.at("header"), "revision");
    });
}

static void deliverChanges(const std::string& line, const KeyValueStore::ChangeHandler& onChange)
{
    Json message = Json::parse(line);
    if (!message.contains("result"))
        return;
    if (message["result"].value("canceled", false))
        throw KeyValueUnavailableError("watch refused: the revision is compacted");
    for (const Json& event : message["result"].value("events", Json::array())) {
        KeyValue pair = readKeyValue(event.at("kv"));
        bool removed = event.value("type", "PUT") == "DELETE";
        onChange(pair.key, removed ? std::nullopt : std::optional(pair));
    }
}

void HttpKeyValueStore::watch(const std::string& prefix, std::int64_t from, const ChangeHandler& onChange)
{
    ++m_counters.watches;
    Json create { { "key", encodeBase64(prefix) }, { "range_end", encodeBase64(prefixRangeEnd(prefix)) }, { "start_revision", std::to_string(from) } };
    HttpRequest request { "POST", "/v3/watch", { { "content-type", "application/json" } }, Json { { "create_request", create } }.dump() };
    HttpCallOptions options;
    options.connectTimeout = connectTimeout;
    options.readTimeout = watchReadTimeout;
    options.maxBodyBytes = std::numeric_limits<std::size_t>::max();
    options.reuseConnection = false;
    std::string buf;
    try {
        m_client.stream(
            m_endpoint, request, [&](std::string_view bytes) {
                buf.append(bytes);
                for (auto end = buf.find('\n'); end != std::string::npos; end = buf.find('\n')) {
                    parseKeyValueResponse([&] { deliverChanges(buf.substr(0, end), onChange); });
                    buf.erase(0, end + 1);
                }
            },
            options);
    } catch (const TargetError& error) {
        ++m_counters.failures;
        throw KeyValueUnavailableError(error.what());
    } catch (const Json::exception&) {
        ++m_counters.failures;
        throw KeyValueUnavailableError("answer is not JSON");
    }
}

std::int64_t HttpKeyValueStore::grantLease(std::chrono::seconds ttl)
{
    ++m_counters.leases;
    Json answer = post("/v3/lease/grant", { { "TTL", std::to_string(ttl.count()) } });
    return parseKeyValueResponse([&] { return readInt64(answer, "ID"); });
}

bool HttpKeyValueStore::keepAlive(std::int64_t lease)
{
    ++m_counters.leases;
    Json answer = post("/v3/lease/keepalive", { { "ID", std::to_string(lease) } });
    return parseKeyValueResponse([&] { return answer.contains("result") && readInt64(answer["result"], "TTL") > 0; });
}

} // namespace basilpoint

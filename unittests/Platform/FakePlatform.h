#pragma once

#include "basilpoint/Net/HttpServer.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

namespace basilpoint::test {

/// Stand-in of the platform's store: keys, ranges, waits for changes and transactions, with outages.
class MiniStore {
public:
    explicit MiniStore(boost::asio::io_context&);

    Endpoint endpoint() const { return m_server.endpoint(); }

    /// Writes as the operator or a target does.
    void put(const std::string& key, const std::string& value);
    bool has(const std::string& key) const { return m_items.contains(key) && m_items.at(key).isThere; }

    /// While set, every call is refused.
    bool isDown = false;

    /// Ends all waiting calls and accepts no more.
    void stop()
    {
        isDown = true;
        m_server.stop();
    }

private:
    struct Item {
        std::string encoded;
        std::int64_t revision = 0;
        bool isThere = false;
    };

    void handle(const HttpRequest&, ResponseWriter&);
    nlohmann::json itemOf(const std::string& key, const Item&) const;
    void range(const std::string& prefix, ResponseWriter&) const;
    void changes(const std::string& prefix, std::int64_t after, int waitMs, ResponseWriter&);
    void transact(const nlohmann::json&, ResponseWriter&);

    std::map<std::string, Item> m_items;
    std::int64_t m_revision = 5;
    HttpServer m_server;
};

/// Stand-in of a target: streams events, or answers whole.
class MiniTarget {
public:
    MiniTarget(boost::asio::io_context&, std::string id, std::string service);

    /// What it writes of itself in the store.
    std::string registration(const char* state) const;
    const std::string& id() const { return m_id; }

    void stop() { m_server.stop(); }

    struct Run {
        std::string call;
        std::string body;
        HttpHeaders headers;
    };
    std::vector<Run> runs;

private:
    void handle(const HttpRequest&, ResponseWriter&);

    std::string m_id;
    std::string m_service;
    HttpServer m_server;
};

} // namespace basilpoint::test

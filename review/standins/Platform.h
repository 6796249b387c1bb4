#pragma once

#include "basilpoint/Net/FiberSignal.h"
#include "basilpoint/Net/HttpServer.h"

#include <chrono>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace basilpoint::review {

/// Writes what happens to record.txt, with the seconds since the start of the script.
class Record {
public:
    explicit Record(const std::string& path);

    void write(const std::string& line);

private:
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_start;
};

/// The platform's metadata store. It loses nothing, and its answers are linearizable.
class Store {
public:
    Store(boost::asio::io_context&, Record&);

    Endpoint endpoint() const { return m_server.endpoint(); }

    /// Writes a key, as the operator or a replica does.
    void put(const std::string& key, const std::string& value);
    /// Deletes a key.
    void remove(const std::string& key);
    /// Value of a key; empty if there is none.
    std::string valueOf(const std::string& key) const;
    /// While down, each call is answered with 503, which says that nothing was done.
    void setDown(bool);

private:
    struct Item {
        std::shared_ptr<const std::string> encoded;
        std::int64_t revision = 0;
        std::int64_t createdRevision = 0;
    };
    struct Event {
        std::string key;
        /// Without a value if the key was deleted.
        Item item;
    };

    void handle(const HttpRequest&, ResponseWriter&);
    static nlohmann::json itemOf(const std::string& key, const Item&);
    void write(const std::string& key, std::string encoded);
    void get(const HttpRequest&, ResponseWriter&) const;
    void range(const HttpRequest&, ResponseWriter&) const;
    void watch(const HttpRequest&, ResponseWriter&);
    void transact(const HttpRequest&, ResponseWriter&);

    std::map<std::string, Item> m_items;
    std::vector<Event> m_history;
    std::int64_t m_revision = 100;
    bool m_isDown = false;
    FiberSignal m_changed;
    Record& m_record;
    HttpServer m_server;
};

/// A sound replica: runs each request that names it, and streams its events.
class Replica {
public:
    Replica(boost::asio::io_context&, Record&, std::string id, std::string service);

    struct Run {
        std::string request;
        std::string body;
    };

    std::string registration() const;
    const std::string& id() const { return m_id; }
    const std::vector<Run>& runs() const { return m_runs; }

    /// Data of the events with which the replica answers a request.
    static std::vector<std::string> eventsOf(const std::string& request);

private:
    void handle(const HttpRequest&, ResponseWriter&);

    Record& m_record;
    std::string m_id;
    std::string m_service;
    std::vector<Run> m_runs;
    HttpServer m_server;
};

} // namespace basilpoint::review

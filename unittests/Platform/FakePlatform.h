#pragma once

#include "basilpoint/Net/HttpServer.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace basilpoint::test {

/// In-process fake of the platform's store: keys, ranges, watches and transactions, with outages.
class FakeStore {
public:
    explicit FakeStore(boost::asio::io_context&);

    Endpoint endpoint() const { return m_server.endpoint(); }

    /// Writes a key, as the operator or a target does.
    void put(const std::string& key, const std::string& value);
    /// Writes a key whose value the store gives as \p encoded, which need not be base64.
    void putRaw(const std::string& key, const std::string& encoded) { m_items[key] = { encoded, ++m_revision, true }; }
    void remove(const std::string& key);
    bool has(const std::string& key) const { return m_items.contains(key) && m_items.at(key).exists; }
    /// Value of a key that exists.
    std::string valueOf(const std::string& key) const;

    /// Value of a key as one process sees it.
    using View = std::function<std::string(const std::string& value)>;

    /// Serves the store at a further address, with changed values. \returns the address.
    Endpoint addView(const View&);

    /// While set, all calls fail with a lost connection.
    bool isDown = false;

    /// Time that reads and transactions take.
    std::chrono::milliseconds latency { 0 };

    /// Bytes of the largest value that the store takes.
    static constexpr std::size_t maxValueBytes = 1024 * 1024;
    /// Calls refused for a value.
    unsigned rejected = 0;
    /// Values with this text are refused as if they were too large; empty for none.
    std::string rejectedText;

    /// Fails all waiting calls and accepts no more.
    void stop()
    {
        isDown = true;
        m_server.stop();
        for (const auto& it : m_views)
            it->stop();
    }

private:
    struct Item {
        std::string encoded;
        std::int64_t revision = 0;
        bool exists = false;
    };

    void handle(const HttpRequest&, ResponseWriter&, const View&);
    static nlohmann::json itemOf(const std::string& key, const Item&, const View&);
    void range(const std::string& prefix, ResponseWriter&, const View&) const;
    void changes(const std::string& prefix, std::int64_t after, int waitMs, ResponseWriter&, const View&);
    void transact(const nlohmann::json&, ResponseWriter&);

    std::map<std::string, Item> m_items;
    std::int64_t m_revision = 5;
    boost::asio::io_context& m_io;
    HttpServer m_server;
    std::vector<std::unique_ptr<HttpServer>> m_views;
};

/// How a target's process ends when it runs a request that crashes it.
enum class TargetEnd {
    /// Its connections are lost, and new ones are refused.
    Refusing,
    /// Its connections stay open, and nothing is sent on any.
    Silent,
};

/// In-process fake of a target: streams events, or answers with a complete body.
class FakeTarget {
public:
    FakeTarget(boost::asio::io_context&, std::string id, std::string service);

    /// The registration that the target writes to the store.
    std::string registration(const char* state) const;
    const std::string& id() const { return m_id; }
    Endpoint endpoint() const { return m_endpoint; }

    void stop();

    /// Ends the process as \ref ending says.
    void crash();
    /// Starts a new lifetime at another address.
    void restart() { startAt({ "127.0.0.1", 0 }); }
    /// Starts a new lifetime at the address of the last one.
    void restartInPlace();
    unsigned crashes() const { return m_crashes; }

    struct Run {
        std::string call;
        std::string body;
        HttpHeaders headers;
        /// Whether the call came on a route of calls that may be repeated.
        bool isIdempotent = false;
        std::chrono::steady_clock::time_point at;
    };
    std::vector<Run> runs;
    /// Calls whose sender has closed the connection before the answer.
    unsigned abandoned = 0;
    /// While set, the target crashes after it has run a call: its answer is lost.
    bool losesAnswers = false;
    /// While set, streams end after their first event, without their end.
    bool breaksStreams = false;
    /// The target crashes as soon as it runs a call with this body; empty if it never does.
    std::string crashesOn;
    TargetEnd ending = TargetEnd::Refusing;
    /// Headers of all answers.
    HttpHeaders answerHeaders;
    /// Time that each call takes.
    std::chrono::milliseconds delay { 0 };
    /// Calls and reservations that the target has room for; empty if it takes no reservations.
    std::optional<unsigned> room;
    /// While set, requests for reservations are not answered in time.
    bool ignoresReservations = false;
    unsigned reservationRequests = 0;
    unsigned reservationsDropped = 0;
    /// Calls that run now, and most that ran at a time.
    unsigned running = 0;
    unsigned maxRunning = 0;
    /// Reservations that are neither used nor expired.
    std::size_t openReservations() const;

private:
    void startAt(const Endpoint&);
    void handle(const HttpRequest&, ResponseWriter&, unsigned lifetime);
    void run(const HttpRequest&, ResponseWriter&, unsigned lifetime);
    void failIfEnded(unsigned lifetime) const;
    void reserve(const HttpRequest&, ResponseWriter&);

    /// Ends of reservations, by id.
    std::map<std::string, std::chrono::steady_clock::time_point> m_reservations;
    unsigned m_lastReservation = 0;
    boost::asio::io_context& m_io;
    std::string m_id;
    std::string m_service;
    /// Incremented with each start.
    unsigned m_lifetime = 0;
    unsigned m_crashes = 0;
    bool m_isDown = false;
    bool m_isStopped = false;
    /// Address of the last lifetime.
    Endpoint m_endpoint;
    /// Lifetimes that have ended silently, and their listeners.
    std::map<unsigned, std::unique_ptr<HttpServer>> m_silent;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace basilpoint::test

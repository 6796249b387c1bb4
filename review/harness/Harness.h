#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Header values by name in lower case.
using Headers = std::map<std::string, std::string>;

struct Request {
    std::string method;
    std::string target;
    Headers headers;
    std::string body;

    std::string header(const std::string& name) const;
};

/// An answer; status 0 if none arrived.
struct Answer {
    int status = 0;
    Headers headers;
    std::string body;
    /// Whether the answer arrived whole.
    bool isWhole = false;
};

void sleepFor(milliseconds);
/// Seconds since the start of the program.
double secondsNow();

/// The file record.txt: what was sent, answered and run.
class Record {
public:
    explicit Record(const std::string& path);
    void write(const std::string& line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// A connection of a stand-in's server or client, with blocking calls and time-outs.
class Channel {
public:
    explicit Channel(int descriptor);
    ~Channel();
    Channel(const Channel&) = delete;
    Channel& operator=(const Channel&) = delete;

    /// Connects to a loopback port; null if that fails.
    static std::unique_ptr<Channel> connect(unsigned port, milliseconds limit);

    bool send(const std::string& bytes) const;
    bool readRequest(Request&, milliseconds limit);
    Answer readAnswer(milliseconds limit);
    /// Whether the other side has closed the connection.
    bool isClosed() const;
    int descriptor() const { return m_descriptor; }

private:
    bool fill(SteadyClock::time_point end);
    bool readLine(std::string& line, SteadyClock::time_point end);
    bool readBytes(std::string& bytes, std::size_t count, SteadyClock::time_point end);
    bool readHeaders(Headers&, SteadyClock::time_point end);
    bool readBody(const Headers&, bool endsWithConnection, std::string& body, SteadyClock::time_point end);

    int m_descriptor;
    std::string m_buffer;
};

/// HTTP/1.1 server on a free loopback port, with one thread for each connection.
class Server {
public:
    using Handler = std::function<bool(const Request&, Channel&)>;

    /// \param handler answers one request; false closes the connection.
    explicit Server(Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    /// Refuses new connections.
    void stopListening() const;
    unsigned port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    void acceptAll();
    void serve(int descriptor);

    Handler m_handler;
    int m_listener = -1;
    unsigned m_port = 0;
    std::atomic<bool> m_stopped { false };
    std::atomic<int> m_open { 0 };
    std::thread m_thread;
};

bool sendAnswer(Channel&, int status, const Headers&, const std::string& body);

/// The platform's metadata store.
class Store {
public:
    explicit Store(Record&);

    std::string address() const { return m_server->address(); }
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    bool has(const std::string& key);
    std::string valueOf(const std::string& key);

    /// While set, the store answers no call and runs none.
    std::atomic<bool> isSilent { false };
    /// Time that each call takes.
    std::atomic<int> answerMs { 4 };
    /// Largest value that the store takes.
    std::size_t valueBytes = 1'048'576;
    std::atomic<int> tooLarge { 0 };

private:
    struct Item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        bool exists = false;
    };

    bool handle(const Request&, Channel&);
    Json itemOf(const std::string& key, const Item&) const;
    std::pair<int, Json> range(const std::string& prefix, const std::string& after);
    std::pair<int, Json> transact(const Json&);
    bool watch(const std::string& prefix, std::int64_t after, int waitMs, Channel&);

    Record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::int64_t m_revision = 10;
    std::unique_ptr<Server> m_server;
};

/// A replica of a service.
class Replica {
public:
    struct Run {
        std::string request;
        std::string body;
        double at = 0;
    };

    Replica(Record&, std::string id, std::string service, std::string zone, unsigned slots);

    std::string registration(const char* state = "ready") const;
    const std::string& id() const { return m_id; }
    std::vector<Run> runs();
    /// Ends the process: its channels are lost, and new ones are refused.
    void crash();
    /// Ends the process without a sign: its channels stay open, and nothing is sent on any.
    void goDark();
    /// Begins a new lifetime at another port; channels of the last one are lost.
    void restart();
    /// Runs of one request.
    unsigned runsOf(const std::string& request);

    /// Time until the first event or the answer, and between events.
    std::atomic<int> firstMs { 60 };
    std::atomic<int> stepMs { 15 };
    std::atomic<int> events { 4 };
    std::string eventText = "word";
    /// A request whose body contains this ends the process without a sign; empty if none does.
    std::string crashesOn;
    std::atomic<int> crashes { 0 };

private:
    bool handle(const Request&, Channel&);
    bool stream(const std::string& request, Channel&) const;
    /// Waits. \returns whether the process still runs.
    bool work(int ms) const;

    Record& m_record;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    unsigned m_slots;
    std::atomic<bool> m_isDown { false };
    std::atomic<bool> m_isDark { false };
    int m_lifetime = 0;
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::unique_ptr<Server> m_server;
};

/// The deployment: settings files and processes, started with the commands of deploy/system.toml.
class Deployment {
public:
    struct Machine {
        std::string name;
        std::string zone;
        bool isGateway = false;
        unsigned callers = 0;
        unsigned readiness = 0;
        unsigned peers = 0;
        int starts = 0;
        pid_t process = 0;
    };

    Deployment(Record&, Store&);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    /// Starts a gateway or a keeper in each zone, as often as \p gateways says.
    void startAll(unsigned gateways, unsigned keepers);
    void start(const std::string& name);
    void signal(const std::string& name, int number);
    /// Kills the process and waits for its end.
    void kill(const std::string& name);
    /// Whether the process is still running; \p how describes its end.
    bool isRunning(const std::string& name, std::string* how = nullptr);
    bool isReady(const std::string& name);
    bool awaitReady(milliseconds limit);
    long residentMb(const std::string& name);
    std::vector<std::string> gateways() const;
    std::vector<std::string> keepers() const;
    unsigned callersOf(const std::string& name) const { return m_machines.at(name).callers; }
    std::string logOf(const std::string& name) const;
    const std::string& folder() const { return m_folder; }

    int memoryMb = 110;

private:
    Record& m_record;
    Store& m_store;
    std::string m_folder;
    std::map<std::string, Machine> m_machines;
};

/// A small manifest: kept turns below /turn/, payments below /pay/, look-ups below /get/.
std::string manifest(int version);

/// Sends one request on a new connection.
Answer call(unsigned port, const std::string& method, const std::string& target, const Headers&, const std::string& body, milliseconds limit);

/// Writes the request as a client sends it.
std::string encode(const std::string& method, const std::string& target, const Headers&, const std::string& body);

/// What a client sends with a turn.
struct TurnCall {
    std::string id;
    std::string program;
    std::string previous {};
    std::string input;
    int budget = 4'000;
    int maxTokens = 80;
    int promptTokens = 600;
    std::string session {};
    int deadlineMs = 3'000;
    /// Longest time that the client waits for the whole answer.
    int patienceMs = 3'500;
    int finishMs = 90'000;
};

Answer sendTurn(unsigned port, const TurnCall&);

/// An id in hexadecimal, as clients use.
std::string newId();

} // namespace review

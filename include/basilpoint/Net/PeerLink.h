#pragma once

#include "basilpoint/Net/HttpTypes.h"
#include "basilpoint/Support/Error.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace basilpoint {

/// The peer did not respond, its handler failed, or the link broke before the response arrived.
class PeerUnreachableError final : public Error {
public:
    /// \param executed No only if the call was never sent.
    PeerUnreachableError(const Endpoint&, const std::string& reason, Executed executed = Executed::Unknown);
};

/// Subject of a peer message; the first element of its frame after the version.
enum class PeerChannel : std::uint8_t {
    Membership = 1,
    Configuration = 2,
    Journal = 3,
    Notice = 4,
    Ownership = 5,
    SuspectLease = 6,
};

/// PEM files for mutual TLS. Without them only loopback addresses are allowed.
struct PeerKeys {
    std::string certificateFile;
    std::string privateKeyFile;
    std::string authorityFile;

    bool empty() const { return certificateFile.empty(); }
};

struct PeerLinkSettings {
    Endpoint listen;
    PeerKeys keys;
    std::size_t maxMessageBytes = 4 * 1024 * 1024;
    /// Most bytes queued for one peer; messages beyond this are dropped.
    std::size_t maxQueuedBytes = 16 * 1024 * 1024;
    Milliseconds idleTimeout { 60'000 };
    /// A link is closed if its peer sends nothing for this long while a response or a pong is outstanding.
    Milliseconds silenceTimeout { 10'000 };
    /// Delay before a link whose connection attempt failed is opened again; doubles with each failure, with jitter.
    Milliseconds minReconnectDelay { 50 };
    Milliseconds maxReconnectDelay { 2'000 };
    /// Most links that other daemons may have open to this one.
    std::size_t maxInboundLinks = 1'024;
    /// Most calls of other daemons that may be active here; further calls fail.
    std::size_t maxInboundCalls = 4'096;
};

/// Counters for metrics and benchmarks.
struct PeerLinkCounters {
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t dropped = 0;
    /// Frames that could not be decoded, and messages that their handler rejected.
    std::uint64_t rejected = 0;
    std::uint64_t linksOpened = 0;
    std::uint64_t linksBroken = 0;
};

/// Links to other daemons: WebSocket connections with CBOR frames, opened on demand and closed when idle.
/// Runs on the daemon's event loop; all functions must be called from its thread.
class PeerLinks {
public:
    /// Called on the event loop for each one-way message, in order of arrival. Must not suspend the fiber.
    using MessageHandler = std::function<void(PeerChannel, const std::string& body)>;
    /// Called for each incoming call in a fiber of its own; returns the body of the response.
    using CallHandler = std::function<std::string(PeerChannel, const std::string& body)>;

    /// \throws ListenError, and InvalidInputError if the key files cannot be read, or are not set and the
    /// listen address is not loopback.
    PeerLinks(boost::asio::io_context&, const PeerLinkSettings&, MessageHandler, CallHandler);
    ~PeerLinks();

    /// Sends \p body without waiting; drops it if the queue is full or the peer cannot be reached.
    void send(const Endpoint& to, PeerChannel, std::string body);

    /// Sends \p body and suspends the fiber until the response arrives. \p to is passed by value, because the
    /// caller's table of peers may change meanwhile.
    /// \throws PeerUnreachableError after \p timeout, if the link breaks, and on stop();
    /// TooLargeError if \p body exceeds the limit.
    std::string call(Endpoint to, PeerChannel, std::string body, Milliseconds timeout);

    /// Closes the listener and all links; pending calls fail.
    void stop();

    Endpoint endpoint() const;
    const PeerLinkCounters& counters() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace basilpoint

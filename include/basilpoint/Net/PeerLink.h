#pragma once

#include "basilpoint/Net/HttpTypes.h"
#include "basilpoint/Support/Error.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace basilpoint {

/// The peer did not answer, its handler failed, or the link broke before it answered.
class PeerUnreachableError final : public Error {
public:
    /// \param executed No only if the call was never sent.
    PeerUnreachableError(const Endpoint&, const std::string& reason, Executed executed = Executed::Unknown);
};

/// What a peer message is about; the first byte of its frame after the version.
enum class PeerChannel : std::uint8_t {
    Membership = 1,
    Configuration = 2,
    Journal = 3,
    Notice = 4,
    Ownership = 5,
    SuspectLease = 6,
};

/// Certificates for mutual TLS; without them only loopback addresses are allowed.
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
    /// Bytes that may wait for one peer before messages to it are dropped.
    std::size_t maxQueuedBytes = 16 * 1024 * 1024;
    Milliseconds idleTimeout { 60'000 };
    /// Silence of a peer that owes an answer or a pong after which its link is closed.
    Milliseconds silenceTimeout { 10'000 };
    /// Pause before a broken link is opened again; doubles with each failure, with jitter.
    Milliseconds minReconnectDelay { 50 };
    Milliseconds maxReconnectDelay { 2'000 };
    /// Links that other daemons may have open to this one.
    std::size_t maxInboundLinks = 1'024;
    /// Calls of other daemons that may be under way here; more are refused.
    std::size_t maxInboundCalls = 4'096;
};

/// Counters for metrics and benchmarks.
struct PeerLinkCounters {
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t dropped = 0;
    /// Frames that could not be read, and messages that their handler refused.
    std::uint64_t rejected = 0;
    std::uint64_t linksOpened = 0;
    std::uint64_t linksBroken = 0;
};

/// Links to other daemons: WebSocket with CBOR bodies, opened on demand, closed when idle.
/// Runs on the daemon's event loop; all calls are made from its thread.
class PeerLinks {
public:
    /// A one-way message came. Called on the event loop in order of arrival; must not wait.
    using MessageHandler = std::function<void(PeerChannel, const std::string& body)>;
    /// A call came; runs in a fiber of its own and returns the answer's body.
    using CallHandler = std::function<std::string(PeerChannel, const std::string& body)>;

    /// \throws ListenError, and InvalidInputError if keys are missing off loopback or cannot be read.
    PeerLinks(boost::asio::io_context&, const PeerLinkSettings&, MessageHandler, CallHandler);
    ~PeerLinks();

    /// Sends \p body without waiting; drops it if the queue is full or the peer cannot be reached.
    void send(const Endpoint& to, PeerChannel, std::string body);

    /// Sends \p body and suspends the fiber until the answer comes. Takes the address by value, since
    /// what the caller holds of its peers may change meanwhile.
    /// \throws PeerUnreachableError after \p timeout, when the link breaks and at stop();
    /// TooLargeError if \p body exceeds the limit.
    std::string call(Endpoint to, PeerChannel, std::string body, Milliseconds timeout);

    /// Closes the listener and all links; calls under way fail.
    void stop();

    Endpoint endpoint() const;
    const PeerLinkCounters& counters() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace basilpoint

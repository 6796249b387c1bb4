#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

// This header must stay valid C++17 and include no project header: its source file is compiled as C++17, because the
// WebSocket library does not compile as C++20.

namespace basilpoint {

/// Identifies a connection within its transport; never reused.
using LinkId = std::uint64_t;

/// Settings of a transport. The certificate files are empty for connections without TLS.
struct PeerTransportSettings {
    std::string host;
    std::uint16_t port = 0;
    std::string certificateFile;
    std::string privateKeyFile;
    std::string authorityFile;
    std::size_t maxMessageBytes = 0;
    /// Most inbound connections that may be open.
    std::size_t maxInboundLinks = 0;
};

/// Callbacks of a transport. Called on the event loop, and not after PeerTransport::stop().
struct PeerTransportHandlers {
    std::function<void(LinkId)> opened;
    /// Called once for each connection, whether or not it was opened.
    std::function<void(LinkId, const std::string& reason)> closed;
    std::function<void(LinkId, const std::string& frame)> received;
    /// The peer answered a ping.
    std::function<void(LinkId)> pongReceived;
};

/// The listening socket could not be bound.
class PeerListenFailure : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// A certificate or key could not be loaded.
class PeerKeyFailure : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// WebSocket listener together with the outbound connections of the same daemon.
class PeerTransport {
public:
    virtual ~PeerTransport() = default;

    /// Starts a connection. Calls opened() or closed() later, never before it returns.
    virtual LinkId connect(const std::string& host, std::uint16_t port) = 0;
    /// \returns false if the connection is not open.
    virtual bool send(LinkId, const std::string& frame) = 0;
    virtual void ping(LinkId) = 0;
    /// Bytes that were passed to send() and are not yet written to the socket.
    virtual std::size_t queuedBytes(LinkId) const = 0;
    virtual void close(LinkId, const std::string& reason) = 0;
    /// Closes the listener and every connection.
    virtual void stop() = 0;
    virtual std::uint16_t port() const = 0;
};

/// \throws PeerListenFailure and PeerKeyFailure.
std::unique_ptr<PeerTransport> makePeerTransport(boost::asio::io_context&, const PeerTransportSettings&, const PeerTransportHandlers&);

} // namespace basilpoint

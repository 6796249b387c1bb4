#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

// Valid C++17, and includes no project header: its source file is compiled as C++17 because the
// WebSocket library does not compile as C++20.

namespace basilpoint {

/// Number of one connection, unique within its transport.
using LinkId = std::uint64_t;

/// What a transport needs to know; the certificate files are empty for plain connections.
struct PeerTransportSettings {
    std::string host;
    std::uint16_t port = 0;
    std::string certificateFile;
    std::string privateKeyFile;
    std::string authorityFile;
    std::size_t maxMessageBytes = 0;
    /// Most connections that others may have open to this one.
    std::size_t maxInboundLinks = 0;
};

/// Called on the event loop; none is called after PeerTransport::stop().
struct PeerTransportHandlers {
    std::function<void(LinkId)> opened;
    /// Comes once for each connection, opened or not.
    std::function<void(LinkId, const std::string& reason)> closed;
    std::function<void(LinkId, const std::string& frame)> received;
    /// The other side answered a ping.
    std::function<void(LinkId)> alive;
};

/// The listener could not be bound.
class PeerListenFailure : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// A certificate or key could not be used.
class PeerKeyFailure : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// WebSocket connections of one listener and its outgoing side.
class PeerTransport {
public:
    virtual ~PeerTransport() = default;

    /// Starts a connection; opened() or closed() follows, never from inside this call.
    virtual LinkId connect(const std::string& host, std::uint16_t port) = 0;
    /// \returns false if the connection is not open.
    virtual bool send(LinkId, const std::string& frame) = 0;
    virtual void ping(LinkId) = 0;
    /// Bytes that were sent and have not reached the kernel.
    virtual std::size_t queuedBytes(LinkId) const = 0;
    virtual void close(LinkId, const std::string& reason) = 0;
    /// Closes the listener and every connection.
    virtual void stop() = 0;
    virtual std::uint16_t port() const = 0;
};

/// \throws PeerListenFailure and PeerKeyFailure.
std::unique_ptr<PeerTransport> makePeerTransport(boost::asio::io_context&, const PeerTransportSettings&, const PeerTransportHandlers&);

} // namespace basilpoint

#include "basilpoint/Net/PeerLink.h"

#include "PeerFrame.h"
#include "PeerTransport.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/FiberAwait.h"
#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Support/Random.h"

#include <boost/asio/steady_timer.hpp>
#include <cassert>
#include <deque>
#include <map>

namespace basilpoint {

namespace asio = boost::asio;

static constexpr int statusUnreachable = 503;
static constexpr int sweepsPerTimeout = 4;
static constexpr unsigned maxBackoffDoublings = 16;

PeerUnreachableError::PeerUnreachableError(const Endpoint& peer, const std::string& reason, Executed executed)
    : Error({ "peer-unreachable", statusUnreachable, executed }, { { "peer", peer.text() }, { "reason", reason } })
{
    setRetryAfter(Milliseconds(1'000));
}

namespace {

    // Outbound connection to one peer.
    struct Peer {
        LinkId link = 0;
        bool open = false;
        /// Frames to send once the connection is open.
        std::deque<std::string> queue;
        std::size_t queuedBytes = 0;
        unsigned failures = 0;
        TimePoint retryAt {};
    };

    // Last activity on one connection, inbound or outbound.
    struct LinkActivity {
        TimePoint lastUsed;
        TimePoint lastReceived;
        bool awaitsPong = false;
    };

    // An outgoing call whose fiber waits for the response.
    struct PendingCall {
        LinkId link = 0;
        asio::steady_timer* timer = nullptr;
        bool finished = false;
        std::string answer;
        /// Reason of a failure.
        std::optional<std::string> failure;
    };

} // namespace

struct PeerLinks::Impl : std::enable_shared_from_this<PeerLinks::Impl> {
    Impl(asio::io_context&, const PeerLinkSettings&, MessageHandler, CallHandler);

    void start();
    void stop();

    /// Sends \p frame, or queues it until the connection is open.
    /// \returns the reason if the frame was rejected.
    std::optional<std::string> enqueue(const Endpoint& to, std::string frame);
    std::string call(Endpoint to, PeerChannel, std::string body, Milliseconds timeout);

    void opened(LinkId);
    void closed(LinkId, const std::string& reason);
    void received(LinkId, const std::string& bytes);
    void scheduleSweep();
    void sweep();

    bool transmit(LinkId, const std::string& frame);
    void connect(const Endpoint&, Peer&);
    void dispatch(LinkId, PeerFrame);
    void serveCall(LinkId, const PeerFrame&);
    void completeCall(LinkId, PeerFrame);
    void failCalls(LinkId, const std::string& reason);
    bool isAllowed(const Endpoint& to) const { return !settings.keys.empty() || to.isLoopback(); }
    bool hasCalls(LinkId) const;
    Milliseconds backoff(unsigned failures);
    TimePoint now() const { return std::chrono::steady_clock::now(); }

    asio::io_context& io;
    PeerLinkSettings settings;
    MessageHandler onMessage;
    CallHandler onCall;
    RandomEngine random { std::random_device {}() };
    asio::steady_timer sweepTimer;
    std::unique_ptr<PeerTransport> transport;
    std::map<Endpoint, Peer> peers;
    std::map<LinkId, Endpoint> outbound;
    std::map<LinkId, LinkActivity> activity;
    std::map<std::uint64_t, PendingCall*> calls;
    std::uint64_t nextCall = 1;
    std::size_t inboundCalls = 0;
    PeerLinkCounters counters;
    bool stopped = false;
};

PeerLinks::Impl::Impl(asio::io_context& context, const PeerLinkSettings& values, MessageHandler messageHandler, CallHandler callHandler)
    : io(context)
    , settings(values)
    , onMessage(std::move(messageHandler))
    , onCall(std::move(callHandler))
    , sweepTimer(context)
{
    if (!isAllowed(settings.listen))
        throw InvalidInputError("peer address", settings.listen.text(), "a loopback address unless certificates are set");
}

void PeerLinks::Impl::start()
{
    PeerTransportSettings values { settings.listen.host, settings.listen.port, settings.keys.certificateFile, settings.keys.privateKeyFile, settings.keys.authorityFile, settings.maxMessageBytes + maxPeerFrameOverheadBytes, settings.maxInboundLinks };
    const PeerTransportHandlers handlers {
        [this](LinkId link) { opened(link); },
        [this](LinkId link, const std::string& reason) { closed(link, reason); },
        [this](LinkId link, const std::string& bytes) { received(link, bytes); },
        [this](LinkId link) { activity[link].lastReceived = now(); },
    };
    try {
        transport = makePeerTransport(io, values, handlers);
    } catch (const PeerListenFailure& failure) {
        throw ListenError(settings.listen, failure.what());
    } catch (const PeerKeyFailure& failure) {
        throw InvalidInputError("peer certificates", failure.what(), "PEM files of a certificate, its key and the authority");
    }
    scheduleSweep();
}

void PeerLinks::Impl::stop()
{
    if (std::exchange(stopped, true))
        return;
    sweepTimer.cancel();
    transport->stop();
    for (const auto& [id, call] : calls) {
        call->failure = "stop";
        call->timer->cancel();
    }
}

std::optional<std::string> PeerLinks::Impl::enqueue(const Endpoint& to, std::string frame)
{
    if (stopped)
        return "stopped";
    if (!isAllowed(to))
        return "no certificates for an address off loopback";
    Peer& peer = peers[to];
    if (peer.link == 0 && now() < peer.retryAt)
        return "link is down";
    std::size_t waiting = peer.queuedBytes + (peer.open ? transport->queuedBytes(peer.link) : 0);
    if (waiting + frame.size() > settings.maxQueuedBytes)
        return "queue is full";
    if (peer.link == 0)
        connect(to, peer);
    if (peer.open)
        return transmit(peer.link, frame) ? std::nullopt : std::optional<std::string>("link is closing");
    peer.queuedBytes += frame.size();
    peer.queue.push_back(std::move(frame));
    return std::nullopt;
}

void PeerLinks::Impl::connect(const Endpoint& to, Peer& peer)
{
    peer.link = transport->connect(to.host, to.port);
    outbound.emplace(peer.link, to);
}

bool PeerLinks::Impl::transmit(LinkId link, const std::string& frame)
{
    if (!transport->send(link, frame))
        return false;
    activity[link].lastUsed = now();
    ++counters.messagesSent;
    counters.bytesSent += frame.size();
    return true;
}

void PeerLinks::Impl::opened(LinkId link)
{
    activity[link] = { now(), now(), false };
    ++counters.linksOpened;
    auto it = outbound.find(link);
    if (it == outbound.end())
        return;
    Peer& peer = peers[it->second];
    peer.open = true;
    peer.failures = 0;
    for (const std::string& frame : std::exchange(peer.queue, {}))
        transmit(link, frame);
    peer.queuedBytes = 0;
}

void PeerLinks::Impl::closed(LinkId link, const std::string& reason)
{
    activity.erase(link);
    auto it = outbound.find(link);
    if (it != outbound.end()) {
        Peer& peer = peers[it->second];
        bool wasOpen = peer.open;
        counters.dropped += peer.queue.size();
        peer.failures = wasOpen ? 0 : peer.failures + 1;
        peer = { 0, false, {}, 0, peer.failures, now() + backoff(peer.failures) };
        outbound.erase(it);
        ++counters.linksBroken;
    }
    failCalls(link, "link broke: " + reason);
}

// Jitter keeps daemons that lost the same peer from reconnecting at the same time.
Milliseconds PeerLinks::Impl::backoff(unsigned failures)
{
    if (failures == 0)
        return Milliseconds(0);
    std::int64_t maxDelay = settings.minReconnectDelay.count() << std::min(failures, maxBackoffDoublings);
    maxDelay = std::min<std::int64_t>(maxDelay, settings.maxReconnectDelay.count());
    return Milliseconds(std::uniform_int_distribution<std::int64_t>(maxDelay / 2, maxDelay)(random));
}

void PeerLinks::Impl::received(LinkId link, const std::string& bytes)
{
    activity[link].lastReceived = now();
    activity[link].lastUsed = now();
    ++counters.messagesReceived;
    counters.bytesReceived += bytes.size();
    try {
        dispatch(link, decodePeerFrame(bytes));
    } catch (const Error&) {
        ++counters.rejected;
    }
}

void PeerLinks::Impl::dispatch(LinkId link, PeerFrame frame)
{
    switch (frame.kind) {
    case PeerFrameKind::OneWay:
        return onMessage(frame.channel, frame.body);
    case PeerFrameKind::Call:
        if (inboundCalls >= settings.maxInboundCalls) {
            transmit(link, encodePeerFrame({ frame.channel, PeerFrameKind::Failure, frame.callId, "too many calls" }));
            return;
        }
        ++inboundCalls;
        return spawnFiber([self = shared_from_this(), link, frame = std::move(frame)] { self->serveCall(link, frame); });
    case PeerFrameKind::Answer:
    case PeerFrameKind::Failure:
        return completeCall(link, std::move(frame));
    }
}

void PeerLinks::Impl::serveCall(LinkId link, const PeerFrame& request)
{
    PeerFrame answer { request.channel, PeerFrameKind::Answer, request.callId, {} };
    try {
        answer.body = onCall(request.channel, request.body);
        if (answer.body.size() > settings.maxMessageBytes)
            throw TooLargeError("peer answer", settings.maxMessageBytes);
    } catch (const Error& error) {
        answer.kind = PeerFrameKind::Failure;
        answer.body = error.what();
    }
    --inboundCalls;
    if (!stopped && transport->queuedBytes(link) <= settings.maxQueuedBytes)
        transmit(link, encodePeerFrame(answer));
}

// A response is accepted only on the connection that its call was sent on.
void PeerLinks::Impl::completeCall(LinkId link, PeerFrame frame)
{
    auto it = calls.find(frame.callId);
    if (it == calls.end() || it->second->link != link || it->second->finished)
        return;
    PendingCall& call = *it->second;
    call.finished = frame.kind == PeerFrameKind::Answer;
    if (call.finished)
        call.answer = std::move(frame.body);
    else
        call.failure = std::move(frame.body);
    call.timer->cancel();
}

void PeerLinks::Impl::failCalls(LinkId link, const std::string& reason)
{
    for (const auto& [id, call] : calls) {
        if (call->link != link || call->finished)
            continue;
        call->failure = reason;
        call->timer->cancel();
    }
}

bool PeerLinks::Impl::hasCalls(LinkId link) const
{
    return std::any_of(calls.begin(), calls.end(), [&](const auto& entry) { return entry.second->link == link; });
}

// \p to is passed by value, because the caller's table of peers may change while the fiber is suspended.
// NOLINTNEXTLINE(performance-unnecessary-value-param)
std::string PeerLinks::Impl::call(Endpoint to, PeerChannel channel, std::string body, Milliseconds timeout)
{
    if (body.size() > settings.maxMessageBytes)
        throw TooLargeError("peer message", settings.maxMessageBytes);
    std::uint64_t id = nextCall++;
    if (auto refusal = enqueue(to, encodePeerFrame({ channel, PeerFrameKind::Call, id, std::move(body) })))
        throw PeerUnreachableError(to, *refusal, Executed::No);
    asio::steady_timer timer(io, timeout);
    PendingCall pending { peers[to].link, &timer, false, {}, {} };
    calls.emplace(id, &pending);
    awaitIo([&](auto handler) { timer.async_wait(std::move(handler)); });
    calls.erase(id);
    if (pending.finished)
        return std::move(pending.answer);
    throw PeerUnreachableError(to, pending.failure.value_or("timeout"));
}

void PeerLinks::Impl::scheduleSweep()
{
    sweepTimer.expires_after(std::min(settings.idleTimeout, settings.silenceTimeout) / sweepsPerTimeout);
    sweepTimer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
        auto self = weak.lock();
        if (ec || !self || self->stopped)
            return;
        self->sweep();
        self->scheduleSweep();
    });
}

// Closes idle links, and links whose peer has sent nothing for the silence timeout although it was pinged.
void PeerLinks::Impl::sweep()
{
    std::vector<std::pair<LinkId, const char*>> linksToClose;
    for (auto& [link, it] : activity) {
        bool isSilent = now() - it.lastReceived > settings.silenceTimeout;
        if (now() - it.lastUsed > settings.idleTimeout && !hasCalls(link)) {
            linksToClose.emplace_back(link, "idle");
        } else if (it.awaitsPong && isSilent) {
            linksToClose.emplace_back(link, "silent");
        } else if (it.lastUsed > it.lastReceived || hasCalls(link)) {
            transport->ping(link);
            it.awaitsPong = true;
        }
        it.awaitsPong = it.awaitsPong && isSilent;
    }
    for (const auto& [link, reason] : linksToClose)
        transport->close(link, reason);
    // Peers that were replaced would otherwise stay in the table forever.
    std::erase_if(peers, [&](const auto& entry) { return entry.second.link == 0 && now() - entry.second.retryAt > settings.idleTimeout; });
}

PeerLinks::PeerLinks(asio::io_context& io, const PeerLinkSettings& settings, MessageHandler onMessage, CallHandler onCall)
    : m_impl(std::make_shared<Impl>(io, settings, std::move(onMessage), std::move(onCall)))
{
    m_impl->start();
}

PeerLinks::~PeerLinks()
{
    m_impl->stop();
}

void PeerLinks::send(const Endpoint& to, PeerChannel channel, std::string body)
{
    bool isTooLarge = body.size() > m_impl->settings.maxMessageBytes;
    if (isTooLarge || m_impl->enqueue(to, encodePeerFrame({ channel, PeerFrameKind::OneWay, 0, std::move(body) })))
        ++m_impl->counters.dropped;
}

std::string PeerLinks::call(Endpoint to, PeerChannel channel, std::string body, Milliseconds timeout)
{
    auto impl = m_impl;
    return impl->call(std::move(to), channel, std::move(body), timeout);
}

void PeerLinks::stop()
{
    m_impl->stop();
}

Endpoint PeerLinks::endpoint() const
{
    return { m_impl->settings.listen.host, m_impl->transport->port() };
}

const PeerLinkCounters& PeerLinks::counters() const
{
    return m_impl->counters;
}

} // namespace basilpoint

#include "basilpoint/Fleet/NoticeController.h"

#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Net/FiberSignal.h"

namespace basilpoint {

static constexpr Milliseconds tickInterval { 200 };

NoticeController::NoticeController(const Clock& clock, InstanceId self, RandomEngine::result_type seed, Sender send)
    : m_clock(clock)
    , m_gossip(std::move(self), seed)
    , m_send(std::move(send))
{
}

void NoticeController::start()
{
    spawnFiber([this] {
        for (;;) {
            sleepFiber(tickInterval);
            perform(m_gossip.tick(m_clock.now()));
        }
    });
}

void NoticeController::setPeers(std::vector<InstanceId> peers)
{
    m_peers = peers;
    m_gossip.setPeers(std::move(peers));
}

void NoticeController::raise(const std::vector<NoticeSubject>& subjects, Milliseconds lifetime)
{
    for (const NoticeSubject& it : subjects)
        perform(m_gossip.raise(it, lifetime, m_clock.now()));
    NoticeActions actions = m_gossip.tick(m_clock.now());
    perform(actions);
    // The notices are sent to all peers at once, since the request may be sent to any of them next. Gossip repairs
    // lost messages.
    for (const NoticeAction& action : actions) {
        const auto* send = std::get_if<SendNoticeAction>(&action);
        if (!send)
            continue;
        std::string body = encodeNoticeMessage(send->message);
        for (const InstanceId& peer : m_peers)
            m_send(peer, body);
        return;
    }
}

void NoticeController::lift(const NoticeSubject& subject)
{
    perform(m_gossip.lift(subject, m_clock.now()));
}

void NoticeController::received(const std::string& body)
{
    perform(m_gossip.received(decodeNoticeMessage(body), m_clock.now()));
}

bool NoticeController::inForce(const NoticeSubject& subject) const
{
    return m_gossip.inForce(subject, m_clock.now());
}

void NoticeController::perform(const NoticeActions& actions)
{
    for (const NoticeAction& action : actions) {
        if (const auto* send = std::get_if<SendNoticeAction>(&action))
            m_send(send->to, encodeNoticeMessage(send->message));
        else if (m_onChange)
            m_onChange(std::get<NoticeChangedAction>(action).notice.subject, !std::get<NoticeChangedAction>(action).notice.lifted);
    }
}

} // namespace basilpoint

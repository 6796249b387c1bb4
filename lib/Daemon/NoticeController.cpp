#include "NoticeController.h"

#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Net/FiberSignal.h"

namespace basilpoint {

static constexpr Milliseconds tickInterval { 200 };
static constexpr Milliseconds noticeLifetime = std::chrono::hours(24);

NoticeController::NoticeController(const Clock& clock, InstanceId self, RandomEngine::result_type seed, Sender send)
    : m_clock(clock)
    , m_spread(std::move(self), seed)
    , m_send(std::move(send))
{
}

void NoticeController::start()
{
    spawnFiber([this] {
        for (;;) {
            sleepFiber(tickInterval);
            perform(m_spread.tick(m_clock.now()));
        }
    });
}

void NoticeController::setPeers(std::vector<InstanceId> peers)
{
    m_peers = peers;
    m_spread.setPeers(std::move(peers));
}

void NoticeController::raise(const NoticeSubject& subject)
{
    perform(m_spread.raise(subject, noticeLifetime, m_clock.now()));
    NoticeActions burst = m_spread.tick(m_clock.now());
    perform(burst);
    // The request may come to any daemon in the next moment; gossip then reaches whom this misses.
    for (const NoticeAction& action : burst) {
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
    perform(m_spread.lift(subject, m_clock.now()));
}

void NoticeController::received(const std::string& body)
{
    perform(m_spread.received(decodeNoticeMessage(body), m_clock.now()));
}

bool NoticeController::inForce(const NoticeSubject& subject) const
{
    return m_spread.inForce(subject, m_clock.now());
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

#pragma once

#include "basilpoint/Fleet/NoticeGossip.h"

#include <functional>

namespace basilpoint {

/// Sends notices about requests and targets to all daemons and receives those of others.
class NoticeController {
public:
    using Sender = std::function<void(const InstanceId&, const std::string& body)>;
    using ChangeHandler = std::function<void(const NoticeSubject&, bool inForce)>;

    NoticeController(const Clock&, InstanceId self, RandomEngine::result_type seed, Sender);

    void start();
    void setPeers(std::vector<InstanceId> peers);

    /// Called with each notice that takes effect or is lifted, whichever daemon raised it.
    void onChange(ChangeHandler hook) { m_onChange = std::move(hook); }

    /// Puts notices into force, or extends them.
    void raise(const std::vector<NoticeSubject>&, Milliseconds lifetime = defaultLifetime);
    void raise(const NoticeSubject& subject) { raise(std::vector { subject }); }
    void lift(const NoticeSubject&);
    void received(const std::string& body);

    bool inForce(const NoticeSubject&) const;

    static constexpr Milliseconds defaultLifetime = std::chrono::hours(24);

private:
    void perform(const NoticeActions&);

    const Clock& m_clock;
    NoticeGossip m_gossip;
    std::vector<InstanceId> m_peers;
    Sender m_send;
    ChangeHandler m_onChange;
};

} // namespace basilpoint

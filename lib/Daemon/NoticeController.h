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

    void raise(const NoticeSubject&);
    void lift(const NoticeSubject&);
    void received(const std::string& body);

    bool inForce(const NoticeSubject&) const;

private:
    void perform(const NoticeActions&);

    const Clock& m_clock;
    NoticeGossip m_gossip;
    std::vector<InstanceId> m_peers;
    Sender m_send;
    ChangeHandler m_onChange;
};

} // namespace basilpoint

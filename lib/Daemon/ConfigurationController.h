#pragma once

#include "EnvironmentController.h"

#include "basilpoint/Fleet/ConfigurationGossip.h"
#include "basilpoint/Net/HttpKeyValueStore.h"

#include <functional>

namespace basilpoint {

/// Receives environments through a watch on the key-value service and gossip with peers, and applies them.
class ConfigurationController {
public:
    using Sender = std::function<void(const InstanceId&, const std::string& body)>;

    ConfigurationController(const Clock&, InstanceId self, RandomEngine::result_type seed, KeyValueStore&, EnvironmentController&, Sender);

    /// Starts the watch and the gossip.
    void start();

    void setPeers(std::vector<InstanceId> peers) { m_gossip.setPeers(std::move(peers)); }
    void received(const std::string& body);

    /// Called after an environment was applied.
    void onChange(std::function<void()> hook) { m_onChange = std::move(hook); }

    bool ready() const { return m_gossip.ready(); }

private:
    void watchLoop();
    void watchOnce();
    void gossipLoop();
    void handleStored(const KeyValue&);
    void perform(const ConfigurationActions&);

    const Clock& m_clock;
    KeyValueStore& m_store;
    EnvironmentController& m_environments;
    ConfigurationGossip m_gossip;
    Sender m_send;
    std::function<void()> m_onChange;
};

} // namespace basilpoint

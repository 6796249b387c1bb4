#pragma once

#include "EnvironmentController.h"

#include "basilpoint/Fleet/ConfigurationGossip.h"
#include "basilpoint/Net/HttpKeyValueStore.h"

#include <functional>

namespace basilpoint {

/// Brings configuration to this daemon: one watch on the key-value service, and gossip with peers.
class ConfigurationController {
public:
    using Sender = std::function<void(const InstanceId&, const std::string& body)>;

    ConfigurationController(const Clock&, InstanceId self, RandomEngine::result_type seed, KeyValueStore&, EnvironmentController&, Sender);

    /// Starts the watch and the gossip.
    void start();

    void setPeers(std::vector<InstanceId> peers) { m_spread.setPeers(std::move(peers)); }
    void received(const std::string& body);

    /// Called after an environment came in force.
    void onChange(std::function<void()> hook) { m_onChange = std::move(hook); }

    bool ready() const { return m_spread.ready(); }

private:
    void watchLoop();
    void watchOnce();
    void gossipLoop();
    void takeStored(const KeyValue&);
    void perform(const ConfigurationActions&);

    const Clock& m_clock;
    KeyValueStore& m_store;
    EnvironmentController& m_environments;
    ConfigurationGossip m_spread;
    Sender m_send;
    std::function<void()> m_onChange;
};

} // namespace basilpoint

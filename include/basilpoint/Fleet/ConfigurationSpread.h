#pragma once

#include "basilpoint/Config/Environment.h"
#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Random.h"

#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace basilpoint {

/// "I have these revisions."
struct RevisionDigestMessage {
    InstanceId from;
    std::map<EnvironmentId, Revision> revisions;
};

/// "Send me these environments."
struct PullMessage {
    InstanceId from;
    std::vector<EnvironmentId> environments;
};

/// Answer to PullMessage.
struct DocumentsMessage {
    InstanceId from;
    std::map<EnvironmentId, StoredEnvironment> documents;
};

using ConfigurationMessage = std::variant<RevisionDigestMessage, PullMessage, DocumentsMessage>;

/// CBOR forms for peer links. \throws InvalidInputError on input of another shape.
std::string encodeConfigurationMessage(const ConfigurationMessage&);
ConfigurationMessage decodeConfigurationMessage(std::string_view bytes);

struct SendConfigurationAction {
    InstanceId to;
    ConfigurationMessage message;
};

/// Put \p stored in force; its revision is higher than any before it.
struct EnvironmentInForceAction {
    EnvironmentId environment;
    StoredEnvironment stored;
};

using ConfigurationAction = std::variant<SendConfigurationAction, EnvironmentInForceAction>;
using ConfigurationActions = std::vector<ConfigurationAction>;

/// Brings accepted configuration to every daemon by a watch and by gossip; never goes back.
class ConfigurationSpread {
public:
    ConfigurationSpread(InstanceId self, RandomEngine::result_type seed);
    ~ConfigurationSpread();

    /// Peers to talk to, from membership.
    void setPeers(std::vector<InstanceId>);

    /// From the key-value service's watch or a read; may be stale or repeated.
    ConfigurationActions stored(const EnvironmentId&, const StoredEnvironment&, TimePoint now);
    ConfigurationActions received(const ConfigurationMessage&, TimePoint now);
    /// Call every 200 ms.
    ConfigurationActions tick(TimePoint now);

    /// Whether this daemon has heard the revisions of enough peers, or of the service, to report ready.
    bool ready() const;

    const std::map<EnvironmentId, StoredEnvironment>& inForce() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace basilpoint

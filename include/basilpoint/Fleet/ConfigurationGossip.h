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

/// Part of the environments, by hash of their ids; differences are looked for part by part.
using EnvironmentBucket = std::uint16_t;

/// "My environments hash to this, and these changed lately."
struct RevisionDigestMessage {
    InstanceId from;
    /// Revisions that changed lately, or all of the parts in \p buckets.
    std::map<EnvironmentId, Revision> revisions;
    /// Hash over all environments and their revisions.
    std::uint64_t summary = 0;
    /// Parts that \p revisions lists wholly; empty in periodic gossip.
    std::vector<EnvironmentBucket> buckets = {};
    /// Whether the sender reports ready, so that its word counts for one that starts.
    bool ready = false;
    /// Whether the receiver shall answer although the summaries are equal.
    bool wantsReply = false;
    /// Whether this answers another message; an answer is not answered by a digest again.
    bool reply = false;
    /// Whether more parts differ than \p buckets names.
    bool truncated = false;

    bool operator==(const RevisionDigestMessage&) const = default;
};

/// "Our summaries differ; my parts hash to this." Answered by RevisionDigestMessage for parts that differ.
struct BucketHashesMessage {
    InstanceId from;
    std::vector<std::uint64_t> hashes;

    bool operator==(const BucketHashesMessage&) const = default;
};

/// "Send me these environments."
struct PullMessage {
    InstanceId from;
    std::vector<EnvironmentId> environments;

    bool operator==(const PullMessage&) const = default;
};

/// Answer to PullMessage.
struct DocumentsMessage {
    InstanceId from;
    std::map<EnvironmentId, StoredEnvironment> documents;

    bool operator==(const DocumentsMessage&) const = default;
};

using ConfigurationMessage = std::variant<RevisionDigestMessage, BucketHashesMessage, PullMessage, DocumentsMessage>;

/// CBOR forms for peer links. \throws InvalidInputError on input of another shape.
std::string encodeConfigurationMessage(const ConfigurationMessage&);
ConfigurationMessage decodeConfigurationMessage(std::string_view bytes);

struct SendConfigurationAction {
    InstanceId to;
    ConfigurationMessage message;
};

/// Put \p stored in force; its revision is higher than any before it.
struct ApplyEnvironmentAction {
    EnvironmentId environment;
    StoredEnvironment stored;
};

using ConfigurationAction = std::variant<SendConfigurationAction, ApplyEnvironmentAction>;
using ConfigurationActions = std::vector<ConfigurationAction>;

/// Brings accepted configuration to every daemon by a watch and by gossip; never goes back.
class ConfigurationGossip {
public:
    ConfigurationGossip(InstanceId self, RandomEngine::result_type seed);
    ~ConfigurationGossip();

    /// Peers to talk to, from membership.
    void setPeers(std::vector<InstanceId>);

    /// Documents kept on disk; call before anything else. They are in force, but not enough to report ready.
    void restore(const std::map<EnvironmentId, StoredEnvironment>&);

    /// All environments of the key-value service went through stored().
    void markListComplete();

    /// From the key-value service's watch or a read; may be stale or repeated.
    ConfigurationActions stored(const EnvironmentId&, const StoredEnvironment&, TimePoint now);
    ConfigurationActions received(const ConfigurationMessage&, TimePoint now);
    /// Call every 200 ms; gossip follows its own period.
    ConfigurationActions tick(TimePoint now);

    /// Whether this daemon has heard the revisions of enough peers, or of the service, to report ready.
    bool ready() const;

    const std::map<EnvironmentId, StoredEnvironment>& inForce() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace basilpoint

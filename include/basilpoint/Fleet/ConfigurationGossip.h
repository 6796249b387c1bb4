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

/// Index of a bucket of environments; a hash of an environment's id determines its bucket. Peers compare their
/// revisions bucket by bucket.
using EnvironmentBucket = std::uint16_t;

/// Hash over all environments of the sender, and the revisions of some of them.
struct RevisionDigestMessage {
    InstanceId from;
    /// Revisions applied recently, or all revisions of the buckets in \p buckets.
    std::map<EnvironmentId, Revision> revisions;
    /// Hash over all environments and their revisions.
    std::uint64_t summary = 0;
    /// Buckets that \p revisions lists completely; empty in periodic gossip.
    std::vector<EnvironmentBucket> buckets = {};
    /// Whether the sender reports ready. A starting daemon counts ready peers before it reports ready itself.
    bool ready = false;
    /// Whether the receiver must reply even if the summaries are equal.
    bool wantsReply = false;
    /// Whether this replies to another message. A reply gets no digest in return.
    bool reply = false;
    /// Whether more buckets differ than \p buckets lists.
    bool truncated = false;

    bool operator==(const RevisionDigestMessage&) const = default;
};

/// Hashes of all buckets of the sender. The reply is a RevisionDigestMessage for the buckets that differ.
struct BucketHashesMessage {
    InstanceId from;
    std::vector<std::uint64_t> hashes;

    bool operator==(const BucketHashesMessage&) const = default;
};

/// Requests the documents of some environments.
struct PullMessage {
    InstanceId from;
    std::vector<EnvironmentId> environments;

    bool operator==(const PullMessage&) const = default;
};

/// Reply to PullMessage.
struct DocumentsMessage {
    InstanceId from;
    std::map<EnvironmentId, StoredEnvironment> documents;

    bool operator==(const DocumentsMessage&) const = default;
};

using ConfigurationMessage = std::variant<RevisionDigestMessage, BucketHashesMessage, PullMessage, DocumentsMessage>;

/// Encode to and decode from CBOR for peer links. \throws InvalidInputError if \p bytes are not a valid message.
std::string encodeConfigurationMessage(const ConfigurationMessage&);
ConfigurationMessage decodeConfigurationMessage(std::string_view bytes);

struct SendConfigurationAction {
    InstanceId to;
    ConfigurationMessage message;
};

/// Put \p stored into force. Its revision is higher than every earlier one of the environment.
struct ApplyEnvironmentAction {
    EnvironmentId environment;
    StoredEnvironment stored;
};

using ConfigurationAction = std::variant<SendConfigurationAction, ApplyEnvironmentAction>;
using ConfigurationActions = std::vector<ConfigurationAction>;

/// Distributes accepted configuration to all daemons, from the key-value service's watch and by gossip.
/// The revision of an environment never decreases.
class ConfigurationGossip {
public:
    ConfigurationGossip(InstanceId self, RandomEngine::result_type seed);
    ~ConfigurationGossip();

    /// Peers to gossip with, as given by the membership.
    void setPeers(std::vector<InstanceId>);

    /// Loads documents kept on disk; call before anything else. They are in force, but do not suffice to report ready.
    void restore(const std::map<EnvironmentId, StoredEnvironment>&);

    /// Reports that all environments of the key-value service were passed to stored().
    void markListComplete();

    /// Handles a value from a watch or a read of the key-value service, which may be stale or repeated.
    ConfigurationActions stored(const EnvironmentId&, const StoredEnvironment&, TimePoint now);
    ConfigurationActions received(const ConfigurationMessage&, TimePoint now);
    /// Call every 200 ms; periodic gossip has a longer period of its own.
    ConfigurationActions tick(TimePoint now);

    /// Whether this daemon holds the revisions of enough peers, or of the key-value service, to report ready.
    bool ready() const;

    const std::map<EnvironmentId, StoredEnvironment>& inForce() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace basilpoint

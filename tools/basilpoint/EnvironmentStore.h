#pragma once

#include "basilpoint/Config/Environment.h"
#include "basilpoint/Net/KeyValueStore.h"
#include "basilpoint/Support/Random.h"

#include <optional>
#include <vector>

namespace basilpoint {

/// An edit was refused because the environment or its trial is not the one that the edit is based on.
class EditConflictError final : public Error {
public:
    EditConflictError(const EnvironmentId&, Revision expected, Revision actual, std::string diff);

    /// The differences behind the conflict, one line each: "NAME: old -> new".
    const std::string& diff() const { return m_diff; }

private:
    std::string m_diff;
};

/// The environment, its trial or one of its revisions does not exist.
class EnvironmentMissingError final : public Error {
public:
    EnvironmentMissingError(const EnvironmentId&, std::string what);
};

/// Which document of an environment an edit replaces.
enum class Stage {
    Trial,
    Production,
};

/// Describes the differences between two canonical documents, one line each: "/path: old -> new".
std::string describeDifferences(const std::string& before, const std::string& after);

/// Reads and edits environments in the key-value service on behalf of operators.
///
/// Every accepted edit creates a new revision. The revision that it replaces is copied to one of a
/// fixed number of history keys before the edit is written, so that a failure between the two writes
/// loses no revision.
class EnvironmentStore {
public:
    EnvironmentStore(KeyValueStore&, RandomEngine::result_type seed);

    /// \throws EnvironmentMissingError if the environment is not stored.
    StoredEnvironment get(const EnvironmentId&);

    /// Stores \p document as the trial or production document.
    /// \param base revision that the edit is based on, if known.
    /// \throws EditConflictError if the current revision is not \p base or another edit is written first.
    StoredEnvironment apply(const EnvironmentId&, const std::string& document, Stage stage, std::optional<Revision> base = std::nullopt);

    /// Makes the trial document the production document.
    /// \throws EditConflictError if the digest of the trial document is not \p expectedDigest.
    StoredEnvironment promote(const EnvironmentId&, const Digest& expectedDigest);

    /// Restores the production document of revision \p to, as a new revision.
    StoredEnvironment rollback(const EnvironmentId&, Revision to);

    /// The current revision and the ones in the history keys, newest first.
    std::vector<StoredEnvironment> history(const EnvironmentId&);

private:
    struct Current {
        std::optional<StoredEnvironment> stored;
        std::int64_t modRevision = 0;
    };

    Current read(const EnvironmentId&);
    StoredEnvironment write(const EnvironmentId&, const Current&, StoredEnvironment next);
    void saveToHistory(const EnvironmentId&, const StoredEnvironment&);
    bool wasApplied(const EnvironmentId&, const StoredEnvironment&);
    [[noreturn]] void throwConflict(const EnvironmentId&, const Current& base, const StoredEnvironment& next);

    KeyValueStore& m_store;
    RandomEngine m_random;
};

} // namespace basilpoint

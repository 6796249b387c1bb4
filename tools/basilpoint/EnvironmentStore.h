#pragma once

#include "basilpoint/Config/Environment.h"
#include "basilpoint/Net/KeyValueStore.h"
#include "basilpoint/Support/Random.h"

#include <optional>
#include <vector>

namespace basilpoint {

/// Another operator changed the environment first; \ref diff tells what differs.
class EditConflictError final : public Error {
public:
    EditConflictError(const EnvironmentId&, Revision expected, Revision actual, std::string diff);

    /// One line for each value that differs between the edit's base and what stands.
    const std::string& diff() const { return m_diff; }

private:
    std::string m_diff;
};

/// The environment, its trial or one of its revisions is not there.
class EnvironmentMissingError final : public Error {
public:
    EnvironmentMissingError(const EnvironmentId&, std::string what);
};

/// Where an edited document takes effect.
enum class Stage {
    Trial,
    Production,
};

/// Differences of two canonical documents, one line each: "/path: old -> new".
std::string describeDifferences(const std::string& before, const std::string& after);

/// Environments in the key-value service, as operators edit them.
///
/// Every accepted edit is a new revision. The revision that it replaces is kept under one of a
/// bounded number of history keys before the edit is written, so that none is ever lost between.
class EnvironmentStore {
public:
    EnvironmentStore(KeyValueStore&, RandomEngine::result_type seed);

    /// \throws EnvironmentMissingError.
    StoredEnvironment get(const EnvironmentId&);

    /// Puts \p document into \p stage.
    /// \param base revision that the operator edited, if known.
    /// \throws EditConflictError if another edit came first.
    StoredEnvironment apply(const EnvironmentId&, const std::string& document, Stage stage, std::optional<Revision> base = std::nullopt);

    /// Makes the trial the production document.
    /// \throws EditConflictError unless the trial's digest is still \p tried.
    StoredEnvironment promote(const EnvironmentId&, const Digest& tried);

    /// Puts the production document of an earlier revision in force again, under a new revision.
    StoredEnvironment rollback(const EnvironmentId&, Revision to);

    /// Revisions that are kept, newest first; the current one is the first.
    std::vector<StoredEnvironment> history(const EnvironmentId&);

private:
    struct Current {
        std::optional<StoredEnvironment> stored;
        std::int64_t modRevision = 0;
    };

    Current read(const EnvironmentId&);
    StoredEnvironment write(const EnvironmentId&, const Current&, StoredEnvironment next);
    void keep(const EnvironmentId&, const StoredEnvironment&);
    bool tookEffect(const EnvironmentId&, const StoredEnvironment&);
    [[noreturn]] void failWithConflict(const EnvironmentId&, const Current& base, const StoredEnvironment& next);

    KeyValueStore& m_store;
    RandomEngine m_random;
};

} // namespace basilpoint

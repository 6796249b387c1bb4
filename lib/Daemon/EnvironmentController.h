#pragma once

#include "basilpoint/Config/Environment.h"
#include "basilpoint/Net/KeyValueStore.h"

#include <map>
#include <memory>

namespace basilpoint {

/// This daemon has no production document of the environment.
class EnvironmentNotFoundError final : public Error {
public:
    explicit EnvironmentNotFoundError(const EnvironmentId&);
};

/// Environments known to this daemon. The revision of an environment never decreases.
class EnvironmentController {
public:
    /// Applies \p stored if its revision is higher than the current one.
    /// \returns whether it was applied. \throws InvalidInputError if the document is invalid.
    bool accept(const StoredEnvironment& stored);

    /// \throws EnvironmentNotFoundError.
    std::shared_ptr<const Environment> find(const EnvironmentId&) const;

    /// Environments with a production document.
    std::vector<std::shared_ptr<const Environment>> all() const;

    const std::map<EnvironmentId, StoredEnvironment>& stored() const { return m_stored; }

private:
    std::map<EnvironmentId, StoredEnvironment> m_stored;
    std::map<EnvironmentId, std::shared_ptr<const Environment>> m_environments;
};

} // namespace basilpoint

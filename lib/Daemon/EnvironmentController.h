#pragma once

#include "basilpoint/Config/Environment.h"
#include "basilpoint/Net/KeyValueStore.h"

#include <map>
#include <memory>

namespace basilpoint {

/// The environment is not known to this daemon.
class EnvironmentNotFoundError final : public Error {
public:
    explicit EnvironmentNotFoundError(const EnvironmentId&);
};

/// Environments in force. A revision only ever rises.
class EnvironmentController {
public:
    /// Takes \p stored over if its revision is higher than the one in force.
    /// \returns whether it was.
    bool accept(const StoredEnvironment& stored);

    /// \throws EnvironmentNotFoundError.
    std::shared_ptr<const Environment> find(const EnvironmentId&) const;

    /// Environments in force.
    std::vector<std::shared_ptr<const Environment>> all() const;

    const std::map<EnvironmentId, StoredEnvironment>& stored() const { return m_stored; }

private:
    std::map<EnvironmentId, StoredEnvironment> m_stored;
    std::map<EnvironmentId, std::shared_ptr<const Environment>> m_environments;
};

} // namespace basilpoint

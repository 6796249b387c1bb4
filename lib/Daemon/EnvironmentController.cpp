#include "EnvironmentController.h"

namespace basilpoint {

EnvironmentNotFoundError::EnvironmentNotFoundError(const EnvironmentId& id)
    : Error({ "environment-not-found", 404, Executed::No }, { { "environment", id.text() } })
{
}

bool EnvironmentController::accept(const StoredEnvironment& stored)
{
    // An environment that has only been on trial has no production document yet.
    bool isInProduction = !stored.document.empty();
    auto environment = std::make_shared<const Environment>(parseEnvironment(isInProduction ? stored.document : stored.trialDocument));
    auto it = m_stored.find(environment->id);
    if (it != m_stored.end() && it->second.revision >= stored.revision)
        return false;
    m_stored.insert_or_assign(environment->id, stored);
    if (isInProduction)
        m_environments.insert_or_assign(environment->id, environment);
    return true;
}

std::shared_ptr<const Environment> EnvironmentController::find(const EnvironmentId& id) const
{
    auto it = m_environments.find(id);
    if (it == m_environments.end())
        throw EnvironmentNotFoundError(id);
    return it->second;
}

std::vector<std::shared_ptr<const Environment>> EnvironmentController::all() const
{
    std::vector<std::shared_ptr<const Environment>> result;
    for (const auto& [id, environment] : m_environments)
        result.push_back(environment);
    return result;
}

} // namespace basilpoint

#pragma once

#include "basilpoint/Support/Ids.h"

#include <unordered_map>

namespace basilpoint {

/// Limits of concurrent calls per operator and per environment.
class ConcurrencyQuotas {
public:
    void setEnvironmentLimit(const EnvironmentId& id, unsigned limit) { m_environments[id].limit = limit; }
    void setOperatorLimit(const OperatorId& id, unsigned limit) { m_operators[id].limit = limit; }

    bool admits(const EnvironmentId&, const OperatorId&) const;
    void started(const EnvironmentId&, const OperatorId&);
    void ended(const EnvironmentId&, const OperatorId&);

private:
    static constexpr unsigned unlimited = ~0U;

    struct Usage {
        unsigned running = 0;
        unsigned limit = unlimited;
    };

    template <typename Id>
    static bool isBelowLimit(const std::unordered_map<Id, Usage>&, const Id&);
    template <typename Id>
    static void release(std::unordered_map<Id, Usage>&, const Id&);

    std::unordered_map<EnvironmentId, Usage> m_environments;
    std::unordered_map<OperatorId, Usage> m_operators;
};

} // namespace basilpoint

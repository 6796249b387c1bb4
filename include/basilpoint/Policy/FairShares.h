#pragma once

#include "basilpoint/Support/Ids.h"

#include <unordered_map>

namespace basilpoint {

/// Fair shares between operators by start-time fair queueing.
///
/// Each queued call gets a virtual start time. An operator that asks for more than its share
/// gets ever later start times, and the others go ahead of it.
class FairShares {
public:
    /// What queue order needs to know of one call.
    struct Place {
        double startTag = 0;
        /// Levels that the call goes down because its operator is ahead of its share.
        unsigned penalty = 0;
    };

    /// Place of a call of \p work prefill-token equivalents.
    Place enter(const OperatorId&, double work);

    /// A call with \p startTag was dispatched; virtual time follows.
    void dispatched(double startTag);

    /// Weight of an operator's share; 1 unless set.
    void setWeight(const OperatorId&, double weight);

private:
    struct Share {
        double finishTag = 0;
        double weight = 1;
    };

    void dropIdle();

    std::unordered_map<OperatorId, Share> m_shares;
    double m_virtualTime = 0;
    std::size_t m_dropAt = 1'024;
};

} // namespace basilpoint

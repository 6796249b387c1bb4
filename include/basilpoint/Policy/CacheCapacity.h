#pragma once

#include "basilpoint/Support/Ids.h"

namespace basilpoint {

/// Own share of one replica's cache memory, learned from its reports.
///
/// A report gives the share of the memory in use, not its size. Own tokens over that share is the
/// size as far as it is at this process's disposal: other daemons' use makes it smaller.
class CacheRoom {
public:
    /// \param held own tokens believed held when the report came.
    void reported(double cacheUse, TokenCount held);

    /// Whether \p more tokens fit beside the \p held ones; true while the size is not known.
    bool fits(TokenCount held, TokenCount more) const;

    /// Share in use by \p held tokens; 0 while the size is not known.
    double use(TokenCount held) const { return m_size > 0 ? static_cast<double>(held) / m_size : 0; }

private:
    double m_size = 0;
};

} // namespace basilpoint

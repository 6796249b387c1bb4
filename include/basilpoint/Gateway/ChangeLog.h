#pragma once

#include "basilpoint/Net/KeyValueStore.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace basilpoint {

/// Changes of the keys with one prefix, as a watch of the store has reported them.
///
/// Daemons that watch the same prefix ask a relay for the changes after different revisions. The relay answers all of them
/// from one watch, so that the calls to the store do not grow with the number of daemons.
class ChangeLog {
public:
    /// \param from revision after which the log has all changes.
    explicit ChangeLog(std::int64_t from)
        : m_from(from)
        , m_upTo(from)
    {
    }

    /// Adds the changes after upTo() up to \p next. An item with revision 0 was deleted.
    void append(std::vector<KeyValue> items, std::int64_t next);

    /// Whether the log has all changes after the revision.
    bool covers(std::int64_t after) const { return after >= m_from; }

    /// Revision up to which the log has all changes.
    std::int64_t upTo() const { return m_upTo; }

    /// The changes after revision \p after, in order; may begin with some from before it. Requires covers().
    std::vector<KeyValue> since(std::int64_t after) const;

    /// Items that are kept, unless the latest changes have more.
    static constexpr std::size_t maxItems = 2'000;

private:
    /// Changes of one answer of the store, whose single revisions are not known for deletions.
    struct Batch {
        std::int64_t next = 0;
        std::vector<KeyValue> items;
    };

    std::int64_t m_from;
    std::int64_t m_upTo;
    std::deque<Batch> m_batches;
    std::size_t m_items = 0;
};

} // namespace basilpoint

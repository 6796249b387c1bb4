#pragma once

#include "basilpoint/Shard/Types.h"
#include "basilpoint/Support/Clock.h"

#include <deque>
#include <map>
#include <optional>

namespace basilpoint {

/// Entries that some holder of a shard has not acknowledged yet, and the log length that each holder has acknowledged.
class AppendQueue {
public:
    /// Drops all entries and tickets; each of \p holders has a log of \p length entries.
    void reset(std::uint64_t length, const HolderSet& holders);

    /// Continues with another set of holders, each of which has exactly the first \p length entries of the log.
    void resume(std::uint64_t length, const HolderSet& holders);

    /// Continues after a compaction replaced all entries before index \p covered by \p length entries on each of \p holders.
    /// Tickets within the replaced part count as acknowledged.
    void rebase(std::uint64_t covered, std::uint64_t length, const HolderSet& holders);

    /// Stops waiting for holders that are not among \p holders.
    void retain(const HolderSet& holders);

    /// Adds entries; takeAcknowledged() returns \p ticket once all holders have them.
    void push(std::uint64_t ticket, std::vector<std::string> entries, TimePoint now);

    /// Next request for \p holder, with entries of about \p maxBytes; empty if the holder has all entries.
    std::optional<AppendRequest> next(const HolderId&, const LogVersion&, std::size_t maxBytes) const;

    /// Records that the log of \p holder has \p length entries.
    /// \returns false if that is less than it acknowledged before, or more than was pushed.
    bool recordProgress(const HolderId&, std::uint64_t length);

    /// Tickets that all holders have acknowledged, in the order of push(); each is returned once.
    std::vector<std::uint64_t> takeAcknowledged();

    /// Index after the last entry pushed.
    std::uint64_t end() const { return m_first + m_entries.size(); }
    /// Index of the first entry that some holder has not acknowledged.
    std::uint64_t first() const { return m_first; }
    /// Time at which the oldest unacknowledged ticket was pushed; empty if there is none.
    std::optional<TimePoint> waitingSince() const;

private:
    struct Ticket {
        std::uint64_t ticket = 0;
        std::uint64_t end = 0;
        TimePoint since;
    };

    void setProgress(std::uint64_t length, const HolderSet&);

    std::uint64_t m_first = 0;
    std::deque<std::string> m_entries;
    std::deque<Ticket> m_tickets;
    std::vector<std::uint64_t> m_acknowledged;
    std::map<HolderId, std::uint64_t> m_progress;
};

} // namespace basilpoint

#pragma once

#include "basilpoint/Shard/Types.h"
#include "basilpoint/Support/Clock.h"

#include <deque>
#include <map>
#include <optional>

namespace basilpoint {

/// Entries on their way to the holders of one shard, and how far each holder has come.
class AppendQueue {
public:
    /// Begins anew behind a log of \p length entries that all \p holders have.
    void reset(std::uint64_t length, const HolderSet& holders);

    /// Goes on with other holders, which all have the first \p length entries.
    void resume(std::uint64_t length, const HolderSet& holders);

    /// Goes on after the log and all entries pushed before \p covered were replaced by \p length entries.
    void rebase(std::uint64_t covered, std::uint64_t length, const HolderSet& holders);

    /// Waits for \p holders alone from here on.
    void retain(const HolderSet& holders);

    void push(std::uint64_t ticket, std::vector<std::string> entries, TimePoint now);

    /// What \p holder needs next, of about \p maxBytes; empty if it has everything.
    std::optional<AppendRequest> next(const HolderId&, const LogPosition&, std::size_t maxBytes) const;

    /// \returns false if \p holder shows less than it acknowledged before.
    bool acknowledged(const HolderId&, std::uint64_t length);

    /// Tickets that all holders have by now, in order; each is returned once.
    std::vector<std::uint64_t> takeAcknowledged();

    /// Index behind the last entry pushed.
    std::uint64_t end() const { return m_first + m_entries.size(); }
    /// Index of the first entry that some holder may lack.
    std::uint64_t first() const { return m_first; }
    /// When the oldest ticket without acknowledgement was pushed.
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

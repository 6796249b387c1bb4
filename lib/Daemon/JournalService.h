#pragma once

#include "basilpoint/Journal/JournalStore.h"
#include "basilpoint/Net/FiberSignal.h"
#include "basilpoint/Shard/JournalHolder.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace basilpoint {

/// Prefix of the ids of holders that keep their journal in memory.
extern const std::string memoryHolderPrefix;

/// This daemon's journal holder, which stores its data in the data folder, or in memory if none is set.
class JournalService {
public:
    /// \param folder data folder; if empty, the journal is kept in memory and its holder has the id \p memoryHolder.
    /// \throws the errors of JournalStore.
    JournalService(boost::asio::io_context&, const std::string& folder, HolderId memoryHolder);

    const HolderId& holder() const { return m_holder->id(); }
    bool durable() const { return m_store != nullptr; }

    /// Handles \p request and suspends until its effect is on storage.
    /// \throws the errors of JournalStore.
    HolderReply handle(ShardId, const HolderRequest& request);

    std::size_t shardCount() const { return m_holder->shardCount(); }
    std::uint64_t bytes() const { return m_store ? m_store->bytes() : 0; }

private:
    void persist(const StorageOp&);
    void compactIfLarge();

    boost::asio::io_context& m_io;
    std::unique_ptr<JournalStore> m_store;
    std::unique_ptr<JournalHolder> m_holder;
    std::uint64_t m_compactedBytes = 0;
    bool m_compacting = false;
};

} // namespace basilpoint

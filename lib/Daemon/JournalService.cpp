#include "JournalService.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <spdlog/spdlog.h>

namespace basilpoint {

const std::string memoryHolderPrefix = "memory-";

static constexpr std::uint64_t minCompactionBytes = 256 * 1024 * 1024;
static constexpr std::uint64_t compactionGrowth = 2;

JournalService::JournalService(boost::asio::io_context& io, const std::string& folder, HolderId memoryHolder)
    : m_io(io)
{
    if (folder.empty()) {
        m_holder = std::make_unique<JournalHolder>(std::move(memoryHolder));
        return;
    }
    JournalStoreSettings settings;
    settings.folder = folder;
    m_store = std::make_unique<JournalStore>(settings);
    m_holder = std::make_unique<JournalHolder>(m_store->holder());
    m_store->load([this](const StorageOp& op) { m_holder->replay(op); });
}

HolderReply JournalService::handle(ShardId shard, const HolderRequest& request)
{
    if (m_store)
        m_store->ensureSpace();
    HolderDecision decision = m_holder->handle(shard, request);
    if (decision.op && m_store)
        persist(*decision.op);
    return decision.reply;
}

void JournalService::persist(const StorageOp& op)
{
    struct Completion {
        bool done = false;
        std::exception_ptr failure;
        FiberSignal signal;
    };
    auto completion = std::make_shared<Completion>();
    m_store->write(op, [&io = m_io, completion](const std::exception_ptr& failure) {
        boost::asio::post(io, [completion, failure] {
            completion->done = true;
            completion->failure = failure;
            completion->signal.notifyAll();
        });
    });
    while (!completion->done)
        completion->signal.wait();
    if (completion->failure)
        std::rethrow_exception(completion->failure);
    compactIfLarge();
}

// The snapshot is taken between two operations, so it contains exactly the operations passed to the store so far.
void JournalService::compactIfLarge()
{
    std::uint64_t limit = std::max(minCompactionBytes, m_compactedBytes * compactionGrowth);
    if (m_compacting || m_store->bytes() < limit)
        return;
    m_compacting = true;
    m_store->compact(m_holder->snapshot(), [this](const std::exception_ptr& failure) {
        boost::asio::post(m_io, [this, failure] {
            m_compacting = false;
            m_compactedBytes = m_store->bytes();
            if (failure)
                spdlog::error("journal compaction failed");
        });
    });
}

} // namespace basilpoint

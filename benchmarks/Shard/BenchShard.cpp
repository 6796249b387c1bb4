#include "basilpoint/Shard/JournalHolder.h"
#include "basilpoint/Shard/ShardOwner.h"

#include <chrono>
#include <cstdio>
#include <deque>
#include <map>

using namespace basilpoint;

namespace {

/// Shards of one owner, with two holders and a key-value service that answer immediately.
class Bench {
public:
    explicit Bench(std::size_t shards)
    {
        m_holders.emplace(HolderId("A"), HolderId("A"));
        m_holders.emplace(HolderId("B"), HolderId("B"));
        for (std::size_t n = 0; n < shards; ++n)
            m_owners.emplace_back(ShardId(n), InstanceId("first"), ShardOwnerSettings {});
        m_records.resize(shards);
    }

    /// Takes all shards over as a new owner with the instance id \p self.
    void takeOverAll(const InstanceId& self)
    {
        for (std::size_t n = 0; n < m_owners.size(); ++n) {
            m_owners[n] = ShardOwner(ShardId(n), self, ShardOwnerSettings {});
            runActions(n, m_owners[n].takeOver({ HolderId("A"), HolderId("B") }, m_random, m_now));
        }
    }

    void append(std::size_t shard, const std::string& entry)
    {
        runActions(shard, m_owners[shard].append(++m_ticket, { entry }, m_now));
    }

    std::size_t acknowledged = 0;
    std::size_t owned = 0;
    std::size_t reads = 0;
    std::size_t writes = 0;
    std::size_t holderRequests = 0;
    std::size_t entriesSent = 0;

private:
    struct Stored {
        std::optional<ShardRecord> record;
        std::int64_t revision = 0;
    };

    void runActions(std::size_t shard, const ShardActions& actions)
    {
        std::deque<ShardAction> queue(actions.begin(), actions.end());
        for (; !queue.empty(); queue.pop_front()) {
            ShardActions next = std::visit([&](const auto& it) { return perform(shard, it); }, queue.front());
            queue.insert(queue.end(), next.begin(), next.end());
        }
    }

    ShardActions perform(std::size_t shard, const ReadRecordAction&)
    {
        ++reads;
        return m_owners[shard].recordRead(m_records[shard].record, m_records[shard].revision, m_random, m_now);
    }

    ShardActions perform(std::size_t shard, const WriteRecordAction& action)
    {
        ++writes;
        Stored& stored = m_records[shard];
        bool succeeded = stored.revision == action.expectedRevision;
        if (succeeded)
            stored = { action.record, stored.revision + 1 };
        return m_owners[shard].recordWritten(succeeded, stored.revision, m_random, m_now);
    }

    ShardActions perform(std::size_t shard, const SendToHolderAction& action)
    {
        ++holderRequests;
        HolderReply reply = m_holders.at(action.holder).handle(ShardId(shard), action.request).reply;
        entriesSent += reply.entries.size();
        if (const auto* sync = std::get_if<SyncRequest>(&action.request))
            entriesSent += sync->entries.size();
        return m_owners[shard].holderAnswered(action.requestId, reply, m_random, m_now);
    }

    ShardActions perform(std::size_t, const BecameOwnerAction&) { return ++owned, ShardActions {}; }
    ShardActions perform(std::size_t, const AcknowledgedAction&) { return ++acknowledged, ShardActions {}; }
    ShardActions perform(std::size_t, const LostShardAction&) { return {}; }
    ShardActions perform(std::size_t, const HolderUnreachableAction&) { return {}; }
    ShardActions perform(std::size_t, const WakeAtAction&) { return {}; }

    RandomEngine m_random { 1 };
    TimePoint m_now { std::chrono::hours(1) };
    std::map<HolderId, JournalHolder> m_holders;
    std::vector<ShardOwner> m_owners;
    std::vector<Stored> m_records;
    std::uint64_t m_ticket = 0;
};

template <typename Work>
double microseconds(Work work)
{
    auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
}

constexpr std::size_t entryBytes = 1'024;
constexpr std::size_t appendCount = 200'000;
constexpr std::size_t entriesPerShard = 200;

void measureAppends(std::size_t shards)
{
    Bench bench(shards);
    bench.takeOverAll(InstanceId("first"));
    std::string entry(entryBytes, 'x');
    double spent = microseconds([&] {
        for (std::size_t n = 0; n < appendCount; ++n)
            bench.append(n % shards, entry);
    });
    std::printf("appends shards=%zu acknowledged=%zu us_per_append=%.2f\n", shards, bench.acknowledged, spent / static_cast<double>(appendCount));
}

void measureTakeOver(std::size_t shards)
{
    Bench bench(shards);
    bench.takeOverAll(InstanceId("first"));
    std::string entry(entryBytes, 'x');
    for (std::size_t n = 0; n < shards * entriesPerShard; ++n)
        bench.append(n % shards, entry);
    bench.reads = bench.writes = bench.holderRequests = bench.entriesSent = bench.owned = 0;
    double spent = microseconds([&] { bench.takeOverAll(InstanceId("second")); });
    std::printf("takeover shards=%zu owned=%zu reads=%zu writes=%zu holder_requests=%zu entries_sent=%zu us_total=%.0f us_per_shard=%.1f\n", shards, bench.owned, bench.reads, bench.writes, bench.holderRequests, bench.entriesSent, spent, spent / static_cast<double>(shards));
}

void measureCodec()
{
    AppendRequest append { { { Epoch(9), InstanceId("first") }, 1 }, 7, { std::string(entryBytes, 'x') } };
    std::size_t bytes = 0;
    double spent = microseconds([&] {
        for (std::size_t n = 0; n < appendCount; ++n) {
            append.index = n;
            std::string text = encodeHolderRequest(ShardId(3), append);
            bytes += text.size() + std::get<AppendRequest>(decodeHolderRequest(text).second).entries.size();
        }
    });
    std::printf("codec bytes_per_append=%.0f us_per_encode_and_decode=%.2f\n", static_cast<double>(bytes) / static_cast<double>(appendCount), spent / static_cast<double>(appendCount));
}

} // namespace

/// Measures the time spent in ShardOwner and JournalHolder, and counts the requests that they make.
int main()
{
    measureCodec();
    measureAppends(1);
    measureAppends(12);
    measureAppends(100);
    measureTakeOver(12);
    measureTakeOver(456);
    return 0;
}

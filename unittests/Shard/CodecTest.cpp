#include "basilpoint/Shard/JournalHolder.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cstdlib>

using namespace basilpoint;

namespace {

template <typename Id>
rc::Gen<Id> anyId()
{
    return rc::gen::map(rc::gen::string<std::string>(), [](const std::string& text) {
        std::string printable;
        for (char it : text)
            printable += static_cast<char>('a' + (static_cast<unsigned char>(it) % 26));
        return Id(printable);
    });
}

rc::Gen<OwnerTag> anyTag()
{
    return rc::gen::construct<OwnerTag>(rc::gen::construct<Epoch>(rc::gen::arbitrary<std::uint64_t>()), anyId<InstanceId>());
}

rc::Gen<LogVersion> anyVersion()
{
    return rc::gen::construct<LogVersion>(anyTag(), rc::gen::arbitrary<std::uint64_t>());
}

rc::Gen<std::vector<std::string>> anyEntries()
{
    return rc::gen::arbitrary<std::vector<std::string>>();
}

rc::Gen<std::set<HolderSet>> anyPairs()
{
    return rc::gen::container<std::set<HolderSet>>(rc::gen::container<HolderSet>(anyId<HolderId>()));
}

rc::Gen<HolderRequest> anyRequest()
{
    auto number = rc::gen::arbitrary<std::uint64_t>();
    return rc::gen::oneOf(
        rc::gen::cast<HolderRequest>(rc::gen::construct<SealRequest>(anyTag())),
        rc::gen::cast<HolderRequest>(rc::gen::construct<ReadRequest>(anyTag(), number)),
        rc::gen::cast<HolderRequest>(rc::gen::construct<SyncRequest>(anyTag(), anyVersion(), number, number, anyEntries(), anyPairs(), rc::gen::arbitrary<bool>(), rc::gen::arbitrary<bool>())),
        rc::gen::cast<HolderRequest>(rc::gen::construct<AppendRequest>(anyVersion(), number, anyEntries())),
        rc::gen::cast<HolderRequest>(rc::gen::construct<AddPairRequest>(anyTag(), rc::gen::container<HolderSet>(anyId<HolderId>()))));
}

/// Sets the seed before any test runs: RapidCheck reads RC_PARAMS only once, at the first check.
struct FixedSeed {
    FixedSeed() { setenv("RC_PARAMS", "seed=1", 0); }
};

} // namespace

BOOST_TEST_GLOBAL_CONFIGURATION(FixedSeed);

BOOST_AUTO_TEST_SUITE(CodecTest)

BOOST_AUTO_TEST_CASE(messagesRoundTrip)
{
    BOOST_TEST(rc::check([] {
        auto shard = ShardId(*rc::gen::arbitrary<std::uint64_t>());
        HolderRequest request = *anyRequest();
        RC_ASSERT((decodeHolderRequest(encodeHolderRequest(shard, request)) == std::pair(shard, request)));
        HolderReply reply { *rc::gen::arbitrary<bool>(), *anyTag(), *rc::gen::arbitrary<bool>(), *anyVersion(), *rc::gen::arbitrary<std::uint64_t>(), *anyPairs(), *anyEntries() };
        RC_ASSERT(decodeHolderReply(encodeHolderReply(reply)) == reply);
        StorageOp op { shard, *anyTag(), *rc::gen::arbitrary<bool>(), *anyVersion(), *anyPairs(), {}, *anyEntries() };
        if (*rc::gen::arbitrary<bool>())
            op.truncateTo = *rc::gen::arbitrary<std::uint64_t>();
        RC_ASSERT(decodeStorageOp(encodeStorageOp(op)) == op);
    }));
}

BOOST_AUTO_TEST_CASE(truncatedOrForeignBytesThrowInvalidInputError)
{
    BOOST_TEST(rc::check([] {
        std::string bytes = encodeHolderRequest(ShardId(1), *anyRequest());
        std::size_t length = *rc::gen::inRange<std::size_t>(0, bytes.size());
        RC_ASSERT_THROWS_AS(decodeHolderRequest(std::string_view(bytes).substr(0, length)), InvalidInputError);
        RC_ASSERT_THROWS_AS(decodeStorageOp(bytes), InvalidInputError);
        RC_ASSERT_THROWS_AS(decodeHolderReply(bytes), InvalidInputError);
    }));
}

BOOST_AUTO_TEST_CASE(shardRecordRoundTrips)
{
    ShardRecord record { Epoch(4), InstanceId("m1"), { HolderId("A0"), HolderId("B0") }, "0af3", Epoch(2) };
    BOOST_TEST((decodeShardRecord(encodeShardRecord(record)) == record));
    BOOST_CHECK_THROW(decodeShardRecord("{}"), InvalidInputError);
    BOOST_CHECK_THROW(decodeShardRecord("epoch"), InvalidInputError);
}

BOOST_AUTO_TEST_SUITE_END()

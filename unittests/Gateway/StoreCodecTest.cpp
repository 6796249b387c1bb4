#include "StoreCodec.h"
#include "AllowanceCodec.h"
#include "KeeperCodec.h"
#include "RelayedCall.h"

#include "basilpoint/Fleet/NoticeGossip.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

using namespace basilpoint;

BOOST_AUTO_TEST_SUITE(StoreCodecTest)

BOOST_AUTO_TEST_CASE(storeMessagesSurviveARoundTrip)
{
    KeyTransaction transaction { { { "a", 3 }, { "b", 0 } }, { { "a", std::string("\0\xff", 2) } }, { "c" } };
    BOOST_TEST((decodeTransaction(encodeTransaction(transaction)) == transaction));
    KeyTransactionResult refused { std::nullopt, { { "a", "v", 7 } } };
    BOOST_TEST(!decodeResult(encodeResult(refused)).revision);
    BOOST_TEST((decodeResult(encodeResult(refused)).current == refused.current));
    BOOST_TEST(*decodeResult(encodeResult({ 12, {} })).revision == 12);
    StoreChanges changes { { { "k", "", 0 } }, 44 };
    BOOST_TEST(decodeChanges(encodeChanges(changes)).next == 44);
    BOOST_TEST((decodeQuery(encodeQuery({ "p/", true, 5, Milliseconds(9) })).wait == Milliseconds(9)));
}

BOOST_AUTO_TEST_CASE(attestationsHandoversAndReleasesSurviveARoundTrip)
{
    AccountAttestation attestation { { { "programs/p/account", std::string("\0a", 2), 7 } }, 40, true, true, true };
    AccountAttestation back = decodeAttestation(encodeAttestation(attestation));
    BOOST_TEST(back.records.at(0).value == attestation.records.at(0).value);
    BOOST_TEST(back.records.at(0).revision == 7);
    BOOST_TEST(back.unconfirmedTokens == 40U);
    BOOST_TEST(back.isComplete);
    BOOST_TEST(back.hasNoChanges);
    BOOST_TEST(back.isCompleteWithKeepers == attestation.isCompleteWithKeepers);
    Handover handover = decodeHandover(encodeHandover({ "d", { { ProgramId("p"), { "k", "v", 9 } } }, true }));
    BOOST_TEST(handover.knowsAllChanges);
    BOOST_TEST(handover.daemon == "d");
    BOOST_TEST(handover.accounts.at(0).program.text() == "p");
    BOOST_TEST(handover.accounts.at(0).record.revision == 9);
    BOOST_TEST(decodeRelease(encodeRelease({ DaemonLifetime("d"), true })).isReleased);
}

// Guards against a message that ends the process that reads it: a recursive parser would overflow its stack.
BOOST_AUTO_TEST_CASE(deeplyNestedMessagesAreRejected)
{
    for (const char* opening : { "\x81", "\x9f", "\xa1\x61\x61" }) {
        std::string bytes;
        while (bytes.size() < 4'000'000)
            bytes += opening;
        BOOST_CHECK_THROW(decodeTransaction(bytes), Error);
        BOOST_CHECK_THROW(decodeResult(bytes), Error);
        BOOST_CHECK_THROW(decodeSnapshot(bytes), Error);
        BOOST_CHECK_THROW(decodeQuery(bytes), Error);
        BOOST_CHECK_THROW(decodeChanges(bytes), Error);
        BOOST_CHECK_THROW(decodeAttestation(bytes), Error);
        BOOST_CHECK_THROW(decodeHandover(bytes), Error);
        BOOST_CHECK_THROW(decodeRelease(bytes), Error);
        BOOST_CHECK_THROW(decodeRelayedCall(bytes), Error);
        BOOST_CHECK_THROW(decodeAllowanceRequest(bytes), Error);
        BOOST_CHECK_THROW(decodeAllowanceAnswer(bytes), Error);
        BOOST_CHECK_THROW(decodeRequest(bytes), Error);
        BOOST_CHECK_THROW(decodeAnswer(bytes), Error);
        BOOST_CHECK_THROW(decodeContents(bytes), Error);
        BOOST_CHECK_THROW(decodeProbe(bytes), Error);
        BOOST_CHECK_THROW(decodeReport(bytes), Error);
        BOOST_CHECK_THROW(decodeEntries(bytes), Error);
        BOOST_CHECK_THROW(decodePrograms(bytes), Error);
        BOOST_CHECK_THROW(decodeNoticeMessage(bytes), Error);
    }
}

RC_BOOST_PROP(malformedBytesThrowKeyValueUnavailableError, ())
{
    auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    auto check = [&](auto decode) {
        try {
            decode(bytes);
        } catch (const KeyValueUnavailableError&) {
            RC_LOG() << "refused";
        }
    };
    check(decodeTransaction);
    check(decodeResult);
    check(decodeSnapshot);
    check(decodeChanges);
    check(decodeQuery);
    check(decodeAttestation);
    check(decodeHandover);
    check(decodeRelease);
}

BOOST_AUTO_TEST_SUITE_END()

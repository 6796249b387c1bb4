#include "StoreCodec.h"

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

#include "Settings.h"

#include "basilpoint/Support/Error.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;
using namespace basilpoint::platform;

static const std::string frontText = "node=front-1\nserves=front,control\nip=10.1.0.38\nzone=bp-a\nlisten.front=10.1.0.38:8149\nlisten.ready=10.1.0.38:8141\nportRange=7380,7395\nbootstrap=true\ntolerate.machines=1\nbounds.graceS=8\nprovider.addr=10.200.1.7:8142\nnew.field=x\n";

BOOST_AUTO_TEST_SUITE(SettingsTest)

BOOST_AUTO_TEST_CASE(readsTheSettingsOfAProcessThatServesCallers)
{
    ProcessSettings settings = parseSettings(frontText);
    BOOST_TEST(settings.instance == "front-1");
    BOOST_TEST(settings.servesCallers());
    BOOST_TEST(settings.callers->text() == "10.1.0.38:8149");
    BOOST_TEST(settings.peers.text() == "10.1.0.38:7380");
    BOOST_TEST(settings.store.text() == "10.200.1.7:8142");
    BOOST_TEST((settings.stopLimit == Milliseconds(8'000)));
    BOOST_TEST(settings.tolerated == 1U);
    BOOST_TEST(settings.memoryBytes == 64'000'000U);
    BOOST_TEST(parseSettings(frontText + "limits.memoryMb=88\n").memoryBytes == 88'000'000U);
    BOOST_TEST(parseSettings(frontText + "limits.maxFds=4100\n").maxDescriptors == 4'100U);
    BOOST_TEST(settings.isFirstStart);
    BOOST_TEST(settings.dataFolder.empty());
}

BOOST_AUTO_TEST_CASE(keeperNeedsNoListenerForCallers)
{
    ProcessSettings settings = parseSettings("node=store-1\nserves=store\nip=10.1.0.41\nzone=bp-a\nportRange=7380,7395\nprovider.addr=10.200.1.7:8142\ndataDir=/data/x\nbootstrap=false\n");
    BOOST_TEST(!settings.servesCallers());
    BOOST_TEST(settings.dataFolder == "/data/x");
    BOOST_TEST(!settings.isFirstStart);
}

BOOST_AUTO_TEST_CASE(missingOrInvalidSettingsAreRejected)
{
    for (const char* name : { "node=", "serves=", "zone=", "provider.addr=", "ip=", "portRange=" }) {
        std::string text = frontText;
        text.erase(text.find(name), text.find('\n', text.find(name)) - text.find(name));
        BOOST_CHECK_THROW(parseSettings(text), InvalidInputError);
    }
    BOOST_CHECK_THROW(parseSettings(frontText + "bounds.graceS=soon\n"), InvalidInputError);
    BOOST_CHECK_THROW(parseSettings(frontText + "listen.front=nowhere\n"), InvalidInputError);
    BOOST_CHECK_THROW(readSettings("/no/such/file"), InvalidInputError);
}

BOOST_AUTO_TEST_SUITE_END()

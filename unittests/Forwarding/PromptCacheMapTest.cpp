#include "basilpoint/Forwarding/PromptCacheMap.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

namespace {

const TargetId first("first");
const TargetId second("second");

TokenCount tokensAt(const PromptCacheMap& map, const TargetId& target, const std::vector<PromptPart>& parts)
{
    CachedTokens cached = map.cached(parts);
    auto it = cached.find(target);
    return it == cached.end() ? 0 : it->second;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PromptCacheMapTest)

// Guards against a cached part being counted although the target must prefill what precedes it.
BOOST_AUTO_TEST_CASE(countsOnlyLeadingParts)
{
    PromptCacheMap map;
    map.read(first, { { "system", 100 }, { "tools", 200 }, { "session", 300 } });
    map.read(second, { { "system", 100 } });
    std::vector<PromptPart> prompt { { "system", 100 }, { "tools", 200 }, { "other", 50 } };
    BOOST_TEST(tokensAt(map, first, prompt) == 300U);
    BOOST_TEST(tokensAt(map, second, prompt) == 100U);
    BOOST_TEST(tokensAt(map, first, { { "unknown", 10 }, { "system", 100 } }) == 0U);
    BOOST_TEST(tokensAt(map, first, {}) == 0U);
}

// Guards against counting a part at a target that has read it but not the part before it.
BOOST_AUTO_TEST_CASE(gapEndsThePrefixOfATarget)
{
    PromptCacheMap map;
    map.read(first, { { "a", 1 }, { "b", 2 }, { "c", 4 } });
    map.read(second, { { "a", 1 } });
    map.read(second, { { "c", 4 } });
    BOOST_TEST(tokensAt(map, second, { { "a", 1 }, { "b", 2 }, { "c", 4 } }) == 1U);
}

// Guards against memory that grows with the number of sessions.
BOOST_AUTO_TEST_CASE(evictsTheLeastRecentlyReadPart)
{
    PromptCacheMap map(3);
    map.read(first, { { "a", 1 } });
    map.read(first, { { "b", 1 } });
    map.read(first, { { "c", 1 } });
    map.read(first, { { "a", 1 } });
    map.read(first, { { "d", 1 } });
    BOOST_TEST(map.size() == 3U);
    BOOST_TEST(tokensAt(map, first, { { "a", 1 } }) == 1U);
    BOOST_TEST(tokensAt(map, first, { { "b", 1 } }) == 0U);
    std::vector<PromptPart> many;
    many.reserve(1'000);
    for (int n = 0; n < 1'000; ++n)
        many.push_back({ std::to_string(n), 1 });
    PromptCacheMap large;
    large.read(first, many);
    BOOST_TEST(large.size() == PromptCacheMap::maxPartsOfPrompt);
}

// Guards against calls that follow a cache which ended with its target's lifetime.
BOOST_AUTO_TEST_CASE(forgetsATarget)
{
    PromptCacheMap map;
    map.read(first, { { "a", 1 }, { "b", 2 } });
    map.read(second, { { "a", 1 } });
    map.forget(first);
    BOOST_TEST(map.size() == 1U);
    BOOST_TEST(tokensAt(map, first, { { "a", 1 } }) == 0U);
    BOOST_TEST(tokensAt(map, second, { { "a", 1 } }) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

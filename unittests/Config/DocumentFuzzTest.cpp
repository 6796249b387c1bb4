#include "basilpoint/Config/Environment.h"
#include "basilpoint/Support/Error.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace basilpoint;

BOOST_AUTO_TEST_SUITE(DocumentFuzzTest)

static const std::string seedDocument = R"(environment: annex
operator: societies
rules: {budgetTokens: 100, weightsByHour: [{fromHour: 4, toHour: 9, latencyWeight: 0.9}]}
models:
  - name: m
    replicas: ["127.0.0.1:1"]
tools:
  - name: t
    addresses: &list ["127.0.0.1:2"]
    calls: [{name: c, idempotent: true}]
trial: {callers: [x], tools: [{name: t, addresses: *list}]}
)";

// Applies random replacements, insertions and deletions. Inserts fragments that have a meaning in YAML or JSON, since
// random bytes would rarely get past the lexer.
static std::string mutate(std::string text)
{
    static const std::vector<std::string> fragments { "[", "]", "{", "}", ":", "\n", "  ", "- ", "&a ", "*list", "\"", "!", "|", "\xff", std::string(1, '\0'), "-1", "1e999", ".nan", "~", "\\u0000", "99999999999999999999" };
    for (int n = *rc::gen::inRange(1, 6); n > 0; --n) {
        auto at = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
        auto cut = *rc::gen::inRange<std::size_t>(0, 4);
        text.replace(at, cut, *rc::gen::elementOf(fragments));
    }
    return text;
}

// \returns true if \p decode succeeds or throws InvalidInputError; other exceptions propagate.
template <typename Decode>
static bool returnsOrThrowsTyped(Decode decode)
{
    try {
        decode();
    } catch (const InvalidInputError&) {
        return true;
    }
    return true;
}

BOOST_AUTO_TEST_CASE(corruptedDocumentIsReadOrThrowsInvalidInputError)
{
    BOOST_REQUIRE_NO_THROW(readEnvironment(seedDocument));
    BOOST_TEST(rc::check([] {
        std::string text = mutate(seedDocument);
        RC_ASSERT(returnsOrThrowsTyped([&] { readEnvironment(text); }));
    }));
}

BOOST_AUTO_TEST_CASE(corruptedJsonIsReadOrThrowsInvalidInputError)
{
    const std::string json = canonicalJson(seedDocument);
    BOOST_TEST(rc::check([&] {
        std::string text = mutate(json);
        RC_ASSERT(returnsOrThrowsTyped([&] { parseEnvironment(text); }));
        RC_ASSERT(returnsOrThrowsTyped([&] { decodeStoredEnvironment(mutate(encodeStoredEnvironment({ Revision(3), json }))); }));
    }));
}

BOOST_AUTO_TEST_CASE(arbitraryBytesAreReadOrThrowInvalidInputError)
{
    BOOST_TEST(rc::check([] {
        auto text = *rc::gen::arbitrary<std::string>();
        RC_ASSERT(returnsOrThrowsTyped([&] { readEnvironment(text); }));
        RC_ASSERT(returnsOrThrowsTyped([&] { parseEnvironment(text); }));
    }));
}

BOOST_AUTO_TEST_SUITE_END()

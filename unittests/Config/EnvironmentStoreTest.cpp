#include "EnvironmentStore.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace basilpoint;

namespace {

const EnvironmentId annex { "annex" };

// In-memory store that can lose the request or the response of writes of environments.
class FaultyStore final : public KeyValueStore {
public:
    std::optional<KeyValue> get(const std::string& key) override
    {
        auto it = m_values.find(key);
        return it == m_values.end() ? std::nullopt : std::optional(it->second);
    }

    std::vector<KeyValue> list(const std::string& prefix) override
    {
        std::vector<KeyValue> result;
        for (auto it = m_values.lower_bound(prefix); it != m_values.end() && it->first.starts_with(prefix); ++it)
            result.push_back(it->second);
        return result;
    }

    std::optional<std::int64_t> compareAndSwap(const std::string& key, std::int64_t expected, const std::string& value, std::int64_t) override
    {
        bool isEnvironment = key.starts_with(environmentKeyPrefix);
        if (isEnvironment && loseBefore > 0 && loseBefore--)
            throw KeyValueUnavailableError("request lost");
        if (auto hook = isEnvironment ? std::exchange(beforeWrite, nullptr) : nullptr)
            hook();
        auto it = m_values.find(key);
        if ((it == m_values.end() ? 0 : it->second.modRevision) != expected)
            return std::nullopt;
        m_values[key] = { key, value, ++m_revision };
        if (!isEnvironment)
            return m_revision;
        if (auto hook = std::exchange(afterWrite, nullptr))
            hook();
        if (loseAfter > 0 && loseAfter--)
            throw KeyValueUnavailableError("answer lost");
        return m_revision;
    }

    void watch(const std::string&, std::int64_t, const ChangeHandler&) override { }
    std::int64_t grantLease(std::chrono::seconds) override { return 1; }
    bool keepAlive(std::int64_t) override { return true; }

    std::size_t size() const { return m_values.size(); }

    int loseBefore = 0;
    int loseAfter = 0;
    /// Runs once, before the next write of an environment.
    std::function<void()> beforeWrite;
    /// Runs once, after the next write of an environment took effect.
    std::function<void()> afterWrite;

private:
    std::map<std::string, KeyValue> m_values;
    std::int64_t m_revision = 0;
};

std::string documentWith(int value)
{
    return "{\"value\":" + std::to_string(value) + "}";
}

struct TwoOperators {
    FaultyStore keyValue;
    EnvironmentStore first { keyValue, 1 };
    EnvironmentStore second { keyValue, 2 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EnvironmentStoreTest, TwoOperators)

BOOST_AUTO_TEST_CASE(promoteRequiresTheDigestOfTheCurrentTrial)
{
    first.apply(annex, documentWith(1), Stage::Production);
    Digest tried = first.apply(annex, documentWith(2), Stage::Trial).trialDigest();
    second.apply(annex, documentWith(3), Stage::Trial);
    BOOST_CHECK_THROW(first.promote(annex, tried), EditConflictError);
    StoredEnvironment promoted = first.promote(annex, digestOf(documentWith(3)));
    BOOST_TEST(promoted.document == documentWith(3));
    BOOST_TEST(promoted.trialDocument.empty());
    BOOST_TEST(promoted.revision.value() == 4U);
    BOOST_CHECK_THROW(first.promote(annex, tried), EnvironmentMissingError);
}

BOOST_AUTO_TEST_CASE(editOfAnOldRevisionThrowsConflictWithDiff)
{
    first.apply(annex, documentWith(1), Stage::Production);
    second.apply(annex, documentWith(2), Stage::Production, Revision(1));
    BOOST_CHECK_EXCEPTION(first.apply(annex, documentWith(3), Stage::Production, Revision(1)), EditConflictError, [](const auto& error) { return error.diff() == "/value: 2 -> 3\n"; });
    BOOST_TEST(first.get(annex).document == documentWith(2));
}

BOOST_AUTO_TEST_CASE(rollbackIsANewRevision)
{
    for (int n = 1; n <= 3; ++n)
        first.apply(annex, documentWith(n), Stage::Production);
    StoredEnvironment result = second.rollback(annex, Revision(1));
    BOOST_TEST(result.revision.value() == 4U);
    BOOST_TEST(result.document == documentWith(1));
    BOOST_CHECK_THROW(second.rollback(annex, Revision(9)), EnvironmentMissingError);
}

BOOST_AUTO_TEST_CASE(historyKeepsTheLastRevisionsUnderABoundedNumberOfKeys)
{
    for (int n = 1; n <= 100; ++n)
        first.apply(annex, documentWith(n), Stage::Production);
    auto history = first.history(annex);
    BOOST_TEST(history.size() == 33U);
    BOOST_TEST(keyValue.size() == 33U);
    for (std::size_t n = 0; n < history.size(); ++n)
        BOOST_TEST(history[n].revision.value() == 100U - n);
}

BOOST_AUTO_TEST_CASE(lostResponseIsResolvedThoughALaterEditReplacedTheRevision)
{
    first.apply(annex, documentWith(1), Stage::Production);
    keyValue.afterWrite = [&] { second.apply(annex, documentWith(3), Stage::Production); };
    keyValue.loseAfter = 2;
    BOOST_TEST(first.apply(annex, documentWith(2), Stage::Production).revision.value() == 2U);
    BOOST_TEST(first.get(annex).document == documentWith(3));
    BOOST_TEST(first.get(annex).revision.value() == 3U);
}

BOOST_AUTO_TEST_CASE(outageThrowsKeyValueUnavailableError)
{
    keyValue.loseBefore = 100;
    BOOST_CHECK_THROW(first.apply(annex, documentWith(1), Stage::Production), KeyValueUnavailableError);
}

// Every edit that reports success creates exactly one revision, and no other revision exists.
BOOST_AUTO_TEST_CASE(concurrentEditsWithLostResponsesNeverLoseOrDuplicateARevision)
{
    BOOST_TEST(rc::check([] {
        TwoOperators it;
        std::uint64_t accepted = 0;
        for (int n = *rc::gen::inRange(1, 12); n > 0; --n) {
            it.keyValue.loseBefore = *rc::gen::inRange(0, 3);
            it.keyValue.loseAfter = *rc::gen::inRange(0, 3);
            auto& hook = *rc::gen::arbitrary<bool>() ? it.keyValue.beforeWrite : it.keyValue.afterWrite;
            if (*rc::gen::arbitrary<bool>())
                hook = [&] { it.second.apply(annex, documentWith(1'000 + n), Stage::Production), ++accepted; };
            try {
                StoredEnvironment mine = it.first.apply(annex, documentWith(n), Stage::Production);
                ++accepted;
                auto history = it.first.history(annex);
                RC_ASSERT(std::count(history.begin(), history.end(), mine) == 1);
            } catch (const EditConflictError&) {
                RC_LOG() << "conflict";
            }
        }
        RC_ASSERT(it.first.get(annex).revision.value() == accepted);
    }));
}

BOOST_AUTO_TEST_SUITE_END()

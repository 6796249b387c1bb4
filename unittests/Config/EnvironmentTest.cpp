#include "basilpoint/Config/Environment.h"
#include "basilpoint/Config/Settings.h"
#include "basilpoint/Support/Error.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

using namespace basilpoint;

static std::string example(const std::string& name)
{
    std::ifstream in(EXAMPLES_FOLDER "/" + name);
    std::ostringstream buf;
    buf << in.rdbuf();
    return buf.str();
}

static std::string parseErrorOf(const std::string& yaml)
{
    try {
        readEnvironment(yaml);
    } catch (const InvalidInputError& error) {
        return error.what();
    }
    return "valid";
}

BOOST_AUTO_TEST_SUITE(EnvironmentTest)

BOOST_AUTO_TEST_CASE(examplesOfBothDeploymentsAreValid)
{
    Environment annex = readEnvironment(example("kozos-jogdij.yaml")).environment;
    BOOST_TEST(annex.models.at("shared-language").replicas.size() == 8U);
    BOOST_TEST(annex.rulesFor("reconciliation").deadline.count() == 14'400);
    BOOST_TEST(annex.rulesFor("reconciliation").budgetTokens == annex.rules.budgetTokens);
    BOOST_TEST(!annex.tools.at("payout").isIdempotent("transfer"));
    BOOST_TEST(annex.tools.at("payout").isIdempotent("balance"));
    Environment headCount = readEnvironment(example("futoor.yaml")).environment;
    BOOST_TEST(headCount.models.at("breakfast-agent").replicas.size() == 10U);
}

BOOST_AUTO_TEST_CASE(weightsFollowTheLocalHour)
{
    EnvironmentRules rules = readEnvironment(example("futoor.yaml")).environment.rules;
    auto latencyAt = [&](int utcHour) { return rules.weightsAt(WallTimePoint(std::chrono::hours(24 * 365 + utcHour))).latency; };
    BOOST_TEST(latencyAt(1) == 0.4);
    BOOST_TEST(latencyAt(2) == 0.9);
    BOOST_TEST(latencyAt(7) == 0.9);
    BOOST_TEST(latencyAt(8) == 0.4);
    BOOST_TEST((HourWeights { 22, 4, {} }.covers(23)));
    BOOST_TEST((HourWeights { 22, 4, {} }.covers(3)));
    BOOST_TEST((!HourWeights { 22, 4, {} }.covers(4)));
}

BOOST_AUTO_TEST_CASE(trialViewHasNoTargetLimitOrRuleOfProduction)
{
    Environment annex = readEnvironment(example("kozos-jogdij.yaml")).environment;
    Environment view = trialView(annex);
    BOOST_TEST(view.rules.budgetTokens == 20'000U);
    BOOST_TEST(view.rules.deadline.count() == 1'800);
    BOOST_TEST(view.limits.requestsPerSecond == 10U);
    for (const auto& [name, tool] : view.tools)
        BOOST_TEST(tool.addresses[0].host.starts_with("10.20.9."));
    annex.trial = {};
    BOOST_TEST(trialView(annex).tools.empty());
}

BOOST_AUTO_TEST_CASE(errorsContainLineAndPath)
{
    const std::string head = "environment: a\noperator: b\n";
    BOOST_TEST(parseErrorOf(head + "rules:\n  budgetTokens: 0\n") == "invalid-input field=line 4 /rules/budgetTokens value=0 allowed=a whole number from 1 to 1000000000");
    BOOST_TEST(parseErrorOf(head + "tools:\n  - name: t\n    addresses:\n      - nowhere\n").starts_with("invalid-input field=line 6 /tools/0/addresses/0"));
    BOOST_TEST(parseErrorOf(head + "\nrules:\n  buget: 1\n").starts_with("invalid-input field=line 5 /rules/buget"));
    BOOST_TEST(parseErrorOf("environment: a\n").starts_with("invalid-input field=line 1 /operator"));
    BOOST_TEST(parseErrorOf(head + "tools: [\n").starts_with("invalid-input field=line"));
    BOOST_TEST(parseErrorOf(head + "operator: c\n").starts_with("invalid-input field=line 3"));
}

BOOST_AUTO_TEST_CASE(invalidUtf8ThrowsInvalidInputError)
{
    BOOST_TEST(parseErrorOf("environment: \"a\\xff\"\noperator: b\n").starts_with("invalid-input"));
    BOOST_TEST(parseErrorOf("environment: a\noperator: \xff\xfe\n").starts_with("invalid-input"));
    BOOST_CHECK_THROW(parseEnvironment("{\"environment\":\"\xff\"}"), InvalidInputError);
}

BOOST_AUTO_TEST_CASE(oversizedDocumentsAreRejected)
{
    BOOST_TEST(parseErrorOf("environment: " + std::string(300'000, 'a')).find("at most 240000 bytes") != std::string::npos);
    BOOST_TEST(parseErrorOf(std::string(1'000'001, ' ')).find("at most 1000000 bytes") != std::string::npos);
    BOOST_TEST(parseErrorOf(std::string(500'000, '[')).find("nesting") != std::string::npos);
    std::string blocks;
    for (std::size_t n = 0; n < 300; ++n)
        blocks += std::string(n, ' ') + "a:\n";
    BOOST_TEST(parseErrorOf(blocks).find("nesting") != std::string::npos);
    // Each alias expands to ten copies of the line before: 10^9 values from 400 bytes.
    std::string bomb = "a0: &a0 [x,x,x,x,x,x,x,x,x,x]\n";
    for (int n = 1; n < 9; ++n) {
        bomb += "a" + std::to_string(n) + ": &a" + std::to_string(n) + " [";
        for (int k = 0; k < 10; ++k)
            bomb += "*a" + std::to_string(n - 1) + (k < 9 ? "," : "]\n");
    }
    BOOST_TEST(parseErrorOf(bomb).find("at most 50000 values") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(storedEnvironmentWithBothStagesFitsOneValue)
{
    std::string worst(maxDocumentBytes, '"');
    StoredEnvironment stored { Revision(1), worst, worst, "id", "apply" };
    std::string text = encodeStoredEnvironment(stored);
    BOOST_TEST(text.size() <= 1'000'000U);
    BOOST_TEST((decodeStoredEnvironment(text) == stored));
}

BOOST_AUTO_TEST_CASE(settingsErrorsContainFlagValueAndRange)
{
    const std::vector<SettingSpec> specs { { "size", "5", "Size.", "1 to 9", { { 1, 9 } } }, { "form", "a", "Form.", "a or b", {}, { "a", "b" } } };
    auto failure = [&](const std::vector<std::string>& arguments, std::optional<std::string> variable) -> std::string {
        try {
            resolveSettings(specs, arguments, [&](const std::string& name) { return name == "BASILPOINT_SIZE" ? variable : std::nullopt; });
        } catch (const InvalidInputError& error) {
            return error.what();
        }
        return "valid";
    };
    BOOST_TEST(failure({ "--size", "10" }, {}) == "invalid-input field=--size value=10 allowed=1 to 9");
    BOOST_TEST(failure({ "--form", "c" }, {}) == "invalid-input field=--form value=c allowed=a or b");
    BOOST_TEST(failure({}, "x") == "invalid-input field=--size value=x allowed=1 to 9");
    BOOST_TEST(failure({ "--size", "9" }, "x") == "valid");
    BOOST_TEST(failure({ "--sise", "9" }, {}).find("sise") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

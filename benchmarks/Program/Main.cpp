#include "basilpoint/Program/ProgramTable.h"

#include <fmt/format.h>
#include <malloc.h>

using namespace basilpoint;

static constexpr std::size_t messageBytes = 300;
static constexpr std::size_t answerBytes = 600;
static constexpr TokenCount maxOutput = 256;
static constexpr TokenCount budget = 100'000'000;
static const WallTimePoint now;

namespace {

/// Programs that have each finished some turns.
struct Programs {
    Programs(unsigned programs, unsigned turns, bool keepRecords)
        : keep(keepRecords)
    {
        for (unsigned n = 0; n < programs; ++n) {
            ids.emplace_back(fmt::format("{}-17-{:020x}", n % 12, n));
            commit(table.open({ ids.back(), EnvironmentId("annex"), OperatorId("societies"), RequestKey(fmt::format("open-{:032}", n)), {}, budget, now, {} }));
            for (unsigned turn = 0; turn < turns; ++turn)
                runTurn(ids.back(), turn, false);
        }
    }

    void commit(const ProgramRecord& record)
    {
        table.apply(record);
        if (keep)
            records.push_back(encodeRecord(record));
    }

    void runTurn(const ProgramId& program, unsigned turn, bool whole)
    {
        std::string message = R"({"content":")" + std::string(messageBytes, static_cast<char>('a' + turn % 26)) + R"(","role":"user"})";
        std::string list = "[" + message + "]";
        if (whole) {
            list = table.history(program);
            list.back() = ',';
            list += message + "]";
        }
        RequestKey key(fmt::format("turn-{:032}", turn));
        commit(std::get<ProgramRecord>(table.startTurn({ program, key, list, maxOutput }, now)));
        commit(table.finishTurn(program, R"({"content":")" + std::string(answerBytes, 'z') + R"(","role":"assistant"})", 256));
    }

    bool keep;
    ProgramTable table { ProgramLimits { .maxTurns = 10'000 } };
    std::vector<ProgramId> ids;
    std::vector<std::string> records;
};

} // namespace

static double secondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

static void measureMemory(unsigned turns)
{
    constexpr unsigned count = 676;
    std::size_t before = mallinfo2().uordblks;
    Programs programs(count, turns, false);
    std::size_t bytes = (mallinfo2().uordblks - before) / count;
    std::size_t history = programs.table.history(programs.ids.front()).size();
    fmt::print("memory: {:>3} turns: {:>6} bytes a program, {:>6} of them history\n", turns, bytes, history);
}

static void measureTurns(unsigned turns, bool whole)
{
    constexpr unsigned rounds = 200;
    Programs programs(1, turns, false);
    auto start = std::chrono::steady_clock::now();
    for (unsigned n = 0; n < rounds; ++n)
        programs.runTurn(programs.ids.front(), turns + n, whole);
    fmt::print("start and finish at {:>3} turns, {:>9}: {:>6.1f} us\n", turns, whole ? "whole" : "increment", 1e6 * secondsSince(start) / rounds);
}

static void measureReplay()
{
    Programs programs(676, 10, true);
    std::size_t bytes = 0;
    ProgramTable table { ProgramLimits {} };
    auto start = std::chrono::steady_clock::now();
    for (const std::string& record : programs.records) {
        bytes += record.size();
        table.apply(decodeRecord(record));
    }
    double seconds = secondsSince(start);
    fmt::print("replay: {} records, {:.1f} MB in {:.0f} ms: {:.0f} records/s\n", programs.records.size(), static_cast<double>(bytes) / 1e6, 1e3 * seconds, static_cast<double>(programs.records.size()) / seconds);
    start = std::chrono::steady_clock::now();
    std::size_t compacted = 0;
    for (const ProgramRecord& record : programs.table.compactRecords())
        compacted += encodeRecord(record).size();
    fmt::print("compaction: {:.1f} MB in {:.0f} ms\n", static_cast<double>(compacted) / 1e6, 1e3 * secondsSince(start));
}

int main()
{
    for (unsigned turns : { 0U, 1U, 5U, 10U, 50U })
        measureMemory(turns);
    for (unsigned turns : { 10U, 460U }) {
        measureTurns(turns, false);
        measureTurns(turns, true);
    }
    measureReplay();
    return 0;
}

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace basilpoint {

/// Text identifier. Identifiers with different tags do not convert into each other.
template <typename Tag>
class TextId {
public:
    TextId() = default;
    explicit TextId(std::string text)
        : m_text(std::move(text))
    {
    }

    const std::string& text() const { return m_text; }
    bool empty() const { return m_text.empty(); }

    auto operator<=>(const TextId&) const = default;

private:
    std::string m_text;
};

/// Numeric identifier or counter. Numbers with different tags do not convert into each other.
template <typename Tag>
class Number {
public:
    constexpr Number() = default;
    constexpr explicit Number(std::uint64_t value)
        : m_value(value)
    {
    }

    constexpr std::uint64_t value() const { return m_value; }
    constexpr Number next() const { return Number(m_value + 1); }

    constexpr auto operator<=>(const Number&) const = default;

private:
    std::uint64_t m_value = 0;
};

/// One run of a basilpoint daemon; a restarted daemon has another id.
using InstanceId = TextId<struct InstanceTag>;
/// One data centre, as named in the settings of its instances.
using DataCentreId = TextId<struct DataCentreTag>;
/// Journal holder: one journal folder or the in-memory journal of one daemon. An emptied journal gets a new id.
using HolderId = TextId<struct HolderTag>;
/// One target: an engine replica or the address of a tool service.
using TargetId = TextId<struct TargetTag>;
/// One environment, as named by its operator.
using EnvironmentId = TextId<struct EnvironmentTag>;
/// One organisation that owns environments and has its own limits.
using OperatorId = TextId<struct OperatorTag>;
/// One agent program: "SHARD-EPOCH-RANDOM", so that any daemon finds its shard.
using ProgramId = TextId<struct ProgramTag>;
/// Idempotency key of a request within its program; a repeated request has the same key.
using RequestKey = TextId<struct RequestKeyTag>;

/// Unit of ownership; every program belongs to exactly one shard.
using ShardId = Number<struct ShardTag>;
/// Increases with each change of a shard's owner. Also the fencing number of orders to engines.
using Epoch = Number<struct EpochTag>;
/// Increases with each accepted change of an environment's document.
using Revision = Number<struct RevisionTag>;
/// Position of a turn in its program, from 1.
using TurnNumber = Number<struct TurnTag>;

/// Number of model tokens; the unit of budgets.
using TokenCount = std::uint64_t;

} // namespace basilpoint

template <typename Tag>
struct std::hash<basilpoint::TextId<Tag>> {
    std::size_t operator()(const basilpoint::TextId<Tag>& id) const noexcept { return std::hash<std::string>()(id.text()); }
};

template <typename Tag>
struct std::hash<basilpoint::Number<Tag>> {
    std::size_t operator()(const basilpoint::Number<Tag>& number) const noexcept { return std::hash<std::uint64_t>()(number.value()); }
};

#pragma once

#include "basilpoint/Support/Clock.h"

#include <exception>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilpoint {

/// Whether the request that failed took effect at its target.
enum class Executed {
    No,
    Yes,
    Unknown,
};

/// Text form of \p executed in problem documents: "no", "yes" or "unknown".
std::string_view toString(Executed executed);

/// One named detail of a failure, such as the flag or the program concerned.
struct ErrorField {
    std::string name;
    std::string value;

    bool operator==(const ErrorField&) const = default;
};

/// What all failures of one type have in common.
struct ErrorKind {
    /// Stable identifier in kebab-case; part of the public interface.
    std::string_view code;
    /// HTTP status that stands for the failure.
    int httpStatus = 500;
    Executed executed = Executed::No;
};

/// Base of every failure. Subclasses fix the kind and name their fields.
class Error : public std::exception {
public:
    Error(ErrorKind, std::vector<ErrorField>);

    std::string_view code() const noexcept { return m_kind.code; }
    int httpStatus() const noexcept { return m_kind.httpStatus; }
    Executed executed() const noexcept { return m_kind.executed; }
    const std::vector<ErrorField>& fields() const noexcept { return m_fields; }

    /// Earliest time after which a repeat makes sense; empty if a repeat is of no use.
    std::optional<Milliseconds> retryAfter() const noexcept { return m_retryAfter; }

    /// Code and fields on one line, for logs.
    const char* what() const noexcept override { return m_text.c_str(); }

protected:
    void setRetryAfter(Milliseconds delay) { m_retryAfter = delay; }
    void setExecuted(Executed executed) { m_kind.executed = executed; }

private:
    ErrorKind m_kind;
    std::vector<ErrorField> m_fields;
    std::optional<Milliseconds> m_retryAfter;
    std::string m_text;
};

/// Input that does not parse or breaks a documented limit.
class InvalidInputError final : public Error {
public:
    /// \param field what was wrong, such as a flag, a header or a JSON pointer.
    InvalidInputError(std::string field, std::string value, std::string allowed);
};

} // namespace basilpoint

#pragma once

#include "basilpoint/Support/Clock.h"

#include <exception>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilpoint {

/// Whether a failed request took effect at its target.
enum class Executed {
    No,
    Yes,
    Unknown,
};

/// Text form of \p executed in problem documents: "no", "yes" or "unknown".
std::string_view toString(Executed executed);

/// One named detail of an error, such as the flag or the program concerned.
struct ErrorField {
    std::string name;
    std::string value;

    bool operator==(const ErrorField&) const = default;
};

/// Properties shared by all errors of one type.
struct ErrorKind {
    /// Stable identifier in kebab-case; part of the public interface.
    std::string_view code;
    /// HTTP status of responses that report the error.
    int httpStatus = 500;
    Executed executed = Executed::No;
};

/// Base class of all errors. Subclasses define the kind and the names of the fields.
class Error : public std::exception {
public:
    Error(ErrorKind, std::vector<ErrorField>);

    std::string_view code() const noexcept { return m_kind.code; }
    int httpStatus() const noexcept { return m_kind.httpStatus; }
    Executed executed() const noexcept { return m_kind.executed; }
    const std::vector<ErrorField>& fields() const noexcept { return m_fields; }

    /// Delay after which the caller may retry; empty if a retry is useless.
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
    /// \param field name of the invalid input, such as a flag, a header or a JSON pointer.
    InvalidInputError(std::string field, std::string value, std::string allowed);
};

} // namespace basilpoint

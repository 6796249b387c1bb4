#include "basilpoint/Support/Error.h"

#include <cassert>

namespace basilpoint {

std::string_view toString(Executed executed)
{
    switch (executed) {
    case Executed::No:
        return "no";
    case Executed::Yes:
        return "yes";
    case Executed::Unknown:
        return "unknown";
    }
    assert(false && "unhandled enumerator");
    return "unknown";
}

Error::Error(ErrorKind kind, std::vector<ErrorField> fields)
    : m_kind(kind)
    , m_fields(std::move(fields))
    , m_text(kind.code)
{
    for (const ErrorField& field : m_fields)
        m_text += " " + field.name + "=" + field.value;
}

InvalidInputError::InvalidInputError(std::string field, std::string value, std::string allowed)
    : Error({ "invalid-input", 400, Executed::No }, { { "field", std::move(field) }, { "value", std::move(value) }, { "allowed", std::move(allowed) } })
{
}

} // namespace basilpoint

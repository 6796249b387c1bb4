#pragma once

#include "basilpoint/Support/Error.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace basilpoint {

/// One key with its value and the revision of its last change.
struct KeyValue {
    std::string key;
    std::string value;
    /// Revision of the store at which the key was last written; 0 if the key does not exist.
    std::int64_t modRevision = 0;

    bool operator==(const KeyValue&) const = default;
};

/// The service did not respond, or responded with a failure. A write may have taken effect.
class KeyValueUnavailableError : public Error {
public:
    /// \param executed No only if the call was not sent.
    explicit KeyValueUnavailableError(const std::string& reason, Executed executed = Executed::Unknown);

protected:
    KeyValueUnavailableError(ErrorKind, const std::string& reason);
};

/// The service rejects a call for what it contains, such as a value that is too large: it has done nothing, and would
/// reject the call again. To callers that know no better it is a failure like any other.
class KeyValueRejectedError final : public KeyValueUnavailableError {
public:
    explicit KeyValueRejectedError(const std::string& reason);

    static constexpr std::string_view errorCode = "key-value-rejected";
};

/// The platform's key-value service. Calls suspend the calling fiber.
class KeyValueStore {
public:
    virtual ~KeyValueStore() = default;

    /// \throws KeyValueUnavailableError, as all member functions do.
    virtual std::optional<KeyValue> get(const std::string& key) = 0;

    /// Keys that begin with \p prefix, in ascending order.
    virtual std::vector<KeyValue> list(const std::string& prefix) = 0;

    /// Writes \p value if the key's revision is \p expectedRevision (0: the key does not exist).
    /// \returns the new revision, or empty if the key has another revision.
    virtual std::optional<std::int64_t> compareAndSwap(const std::string& key, std::int64_t expectedRevision, const std::string& value, std::int64_t lease = 0) = 0;

    /// Receives a key's new value; empty if the key was removed.
    using ChangeHandler = std::function<void(const std::string& key, const std::optional<KeyValue>&)>;

    /// Passes changes of keys that begin with \p prefix, from revision \p from on, to \p onChange until the watch ends.
    virtual void watch(const std::string& prefix, std::int64_t from, const ChangeHandler& onChange) = 0;

    /// Creates a lease that expires after \p ttl. \returns its id.
    virtual std::int64_t grantLease(std::chrono::seconds ttl) = 0;

    /// Renews a lease. \returns false if it has expired.
    virtual bool keepAlive(std::int64_t lease) = 0;
};

} // namespace basilpoint

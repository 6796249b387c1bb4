#pragma once

namespace basilpoint::relayPaths {

// Paths of the calls between daemons.
inline constexpr const char* commit = "/store/commit";
inline constexpr const char* snapshot = "/store/snapshot";
inline constexpr const char* get = "/store/get";
inline constexpr const char* changes = "/store/changes";

} // namespace basilpoint::relayPaths

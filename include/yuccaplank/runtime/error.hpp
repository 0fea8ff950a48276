// Errors of the system: one enumeration with a table of names, usable as std::error_code.
#pragma once

#include <boost/outcome/std_result.hpp>

#include <cstdint>
#include <string_view>
#include <system_error>

namespace yuccaplank::runtime {

/// Reasons for the failure of reading a document, of a network exchange, or of another operation.
enum class errc : std::uint8_t {
  Ok = 0,
  // Input
  MalformedDocument,
  UnknownField,
  WrongType,
  OutOfRange,
  MissingField,
  BodyTooLarge,
  // Connections
  QueueFull,
  TooManyConnections,
  RequestTimeout,
  /// The connection was refused.
  ConnectFailed,
  /// The connection was neither accepted nor refused in time.
  ConnectTimeout,
  ConnectionLost,
  // Peers and platform
  PeerUnreachable,
  PeerRejected,
  PlatformUnavailable,
  RevisionConflict,
  NotFound,
  // Evacuations
  UnknownDomain,
  AlreadyEvacuated,
  NotEvacuated,
  Internal,
};

/// Name of a reason as it appears in logs and messages, for example "queue_full".
std::string_view errcName(errc Code);

const std::error_category &errorCategory();
std::error_code make_error_code(errc Code); // NOLINT(readability-identifier-naming): found by ADL

/// A value or a std::error_code.
template <typename T> using result = BOOST_OUTCOME_V2_NAMESPACE::std_result<T>;

} // namespace yuccaplank::runtime

template <> struct std::is_error_code_enum<yuccaplank::runtime::errc> : std::true_type {};

#ifndef SRC_ERROR_H_
#define SRC_ERROR_H_

#include <stdexcept>
#include <string>

#include "src/types.h"

// Defines the errors shown to users and the check of internal invariants.

namespace crocuslatch {

// An error caused by input, state or environment that a user or operator can
// act on. `code` is stable; `remedy` says what to do.
class UserError : public std::runtime_error {
 public:
  UserError(std::string code, const std::string& message, std::string remedy);

  const std::string& code() const { return code_; }
  const std::string& remedy() const { return remedy_; }

 private:
  std::string code_;
  std::string remedy_;
};

// An error that ends a request without an answer. `http_status` matches the
// outcome; `retry_after` is zero if a retry is useless.
class RequestError : public UserError {
 public:
  RequestError(int http_status,
               Outcome outcome,
               std::string code,
               const std::string& message,
               std::string remedy,
               Millis retry_after = Millis{0});

  int http_status() const { return http_status_; }
  Outcome outcome() const { return outcome_; }
  Millis retry_after() const { return retry_after_; }

 private:
  int http_status_;
  Outcome outcome_;
  Millis retry_after_;
};

// Returns the JSON error body of the callers' and administration interfaces.
std::string ErrorBody(const RequestError& error);

// Logs a broken invariant and aborts the process, because inconsistent state
// must not be used to spend tokens or dispatch requests.
[[noreturn]] void FailInvariant(const char* expression,
                                const char* file,
                                int line);

}  // namespace crocuslatch

// Aborts the process if the expression is false.
#define CROCUSLATCH_ASSERT(expression) \
  ((expression)                        \
       ? static_cast<void>(0)          \
       : ::crocuslatch::FailInvariant(#expression, __FILE__, __LINE__))

#endif  // SRC_ERROR_H_

#ifndef SRC_REQUEST_ERRORS_H_
#define SRC_REQUEST_ERRORS_H_

#include <string>
#include <string_view>

#include "src/error.h"
#include "src/grant_table.h"
#include "src/scheduler.h"

// Defines the typed errors with which a request can end.

namespace crocuslatch {

// The request is malformed or not allowed; it did not run.
RequestError BadRequest(int http_status,
                        std::string code,
                        const std::string& message,
                        std::string remedy);

// The request got no reservation; `status` must not be kReserved.
RequestError ReservationRefused(ReserveStatus status,
                                const std::string& budget);
RequestError BudgetExhausted(const std::string& budget);
RequestError UnknownBudget(const std::string& budget);

// The request was not queued; `status` must not be kQueued.
RequestError EnqueueRefused(EnqueueStatus status, const std::string& rank);

// The caller disconnected before the request was dispatched. Counted and
// logged only, since nobody receives it.
RequestError CallerLeft();

// The deadline passed before the request was dispatched.
RequestError DeadlinePassed();

// No backend server accepts work for the model or service.
RequestError NoBackendServer(std::string_view target);

// The backend servers failed. The outcome is unknown if `may_have_run`, else
// "not run".
RequestError BackendFailed(bool may_have_run, const std::string& reason);

// Errors of orders, which are calls of services that are not repeatable.
RequestError OrderInProgress();
RequestError OrderOutcomeUnknown(const std::string& reason);
RequestError KeyReused();
RequestError KeyBoundToOtherBudget(const std::string& budget);
RequestError ClaimUnconfirmed();

}  // namespace crocuslatch

#endif  // SRC_REQUEST_ERRORS_H_
